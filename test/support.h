/// Helpers that tests share: builders for classes, configurations and attempt ids, and filters for actions.
#pragma once

#include "wisteriashunt/messages.h"
#include "wisteriashunt/resources.h"

#include <string>
#include <vector>

namespace wisteriashunt::testing
{

inline constexpr time_point startOfTime{std::chrono::seconds(1700000000)};

inline traffic_class makeClass(const std::string &name, int tier, double floor = 0, const std::vector<std::string> &endpoints = {"e1"})
{
    return {.name = name, .tier = tier, .firstToken = std::chrono::milliseconds(1000), .floor = floor, .endpoints = endpoints};
}

inline configuration_state makeState(const std::vector<traffic_class> &classes, log_offset offset = 1)
{
    configuration_state state;
    state.offset = offset;
    for (const auto &declared : classes) {
        state.classes[declared.name].value = declared;
        for (const auto &name : declared.endpoints) {
            state.endpoints[name].value = {.name = name, .resumes = true};
        }
    }
    return state;
}

inline attempt_id makeAttempt(std::uint64_t sequence, std::uint32_t attempt = 1, std::uint64_t entry = 7)
{
    return {.request = {.entry = entry, .sequence = sequence}, .attempt = attempt};
}

/// Returns the actions of one type, in order.
template<typename T, typename Action>
std::vector<T> actionsOfType(const std::vector<Action> &actions)
{
    std::vector<T> matches;
    for (const auto &action : actions) {
        if (const auto *concrete = std::get_if<T>(&action)) {
            matches.push_back(*concrete);
        }
    }
    return matches;
}

/// Returns the messages of one type that the actions send, in order.
template<typename T, typename Send, typename Action>
std::vector<T> sent(const std::vector<Action> &actions)
{
    std::vector<T> matches;
    for (const auto &send : actionsOfType<Send>(actions)) {
        if (const auto *concrete = std::get_if<T>(&send.content)) {
            matches.push_back(*concrete);
        }
    }
    return matches;
}

} // namespace wisteriashunt::testing
