/// Why an answer was late, by what its route declares.
#pragma once

#include "wisteriashunt/time.h"

#include <string_view>

namespace wisteriashunt
{

/// What made an answer late.
enum class lateness {
    none,
    first_byte,
    pause,
    first_byte_and_pause,
};

/// Times of an answer, or the targets of its route. A target of zero is not declared.
struct answer_times
{
    duration firstByte{};
    duration longestPause{};
};

/// Returns which of the targets an answer missed.
[[nodiscard]] constexpr lateness latenessOf(const answer_times &answer, const answer_times &targets)
{
    const bool isBegunLate = targets.firstByte > duration{} && answer.firstByte > targets.firstByte;
    const bool hasPaused = targets.longestPause > duration{} && answer.longestPause > targets.longestPause;
    if (isBegunLate) {
        return hasPaused ? lateness::first_byte_and_pause : lateness::first_byte;
    }
    return hasPaused ? lateness::pause : lateness::none;
}

[[nodiscard]] constexpr std::string_view toString(lateness cause)
{
    switch (cause) {
    case lateness::none:
        return "none";
    case lateness::first_byte:
        return "first_byte";
    case lateness::pause:
        return "pause";
    case lateness::first_byte_and_pause:
        return "first_byte_and_pause";
    }
    return "unknown";
}

} // namespace wisteriashunt
