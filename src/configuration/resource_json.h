/// JSON form of resources and of the whole configuration, as stored in the log.
#pragma once

#include "wisteriashunt/resources.h"

#include <nlohmann/json.hpp>

namespace wisteriashunt
{

[[nodiscard]] nlohmann::json toJson(const traffic_class &value);
[[nodiscard]] nlohmann::json toJson(const workspace &value);
[[nodiscard]] nlohmann::json toJson(const endpoint &value);
[[nodiscard]] nlohmann::json toJson(const configuration_state &value);

/// These functions throw `nlohmann::json::exception` if a field is absent or has the wrong type.
[[nodiscard]] traffic_class classFromJson(const std::string &name, const nlohmann::json &spec);
[[nodiscard]] workspace workspaceFromJson(const std::string &name, const nlohmann::json &spec);
[[nodiscard]] endpoint endpointFromJson(const std::string &name, const nlohmann::json &spec);
[[nodiscard]] configuration_state stateFromJson(const nlohmann::json &value);

} // namespace wisteriashunt
