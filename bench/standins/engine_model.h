/// Timing model of an engine with continuous batching. Shared by the stand-in engine and the load tool.
#pragma once

#include "wisteriashunt/time.h"

#include <cstdint>
#include <string>

namespace wisteriashunt::standin
{

/// Timing parameters of one engine.
struct engine_model
{
    /// Time of one decoding step with an empty batch.
    duration baseGap = std::chrono::microseconds(12000);
    /// Added to the step time by each running answer.
    duration gapPerRunning = std::chrono::microseconds(600);
    /// Prefill time of an empty prompt.
    duration basePrefill = std::chrono::milliseconds(40);
    /// Added to the prefill time by each prompt token that is not in the prefix cache.
    duration prefillPerToken = std::chrono::microseconds(100);
    /// Factor on all times; above 1 for a straggler.
    double slowness = 1;

    /// Returns the time between two tokens of an answer with `running` answers in the batch.
    [[nodiscard]] duration tokenGap(std::size_t running) const
    {
        return scaled(baseGap + gapPerRunning * static_cast<std::int64_t>(running));
    }

    /// Returns the time to the first token: the prefill and one decoding step.
    [[nodiscard]] duration timeToFirstToken(std::uint32_t uncachedTokens, std::size_t running) const
    {
        return scaled(basePrefill + prefillPerToken * uncachedTokens) + tokenGap(running);
    }

private:
    [[nodiscard]] duration scaled(duration value) const
    {
        return fromSeconds(toSeconds(value) * slowness);
    }
};

/// Returns the text of one token. It contains the tag of the request and the index of the token, so that receivers can detect tokens that are
/// missing, repeated or of another request.
[[nodiscard]] inline std::string tokenText(const std::string &requestTag, std::uint32_t index)
{
    return requestTag + "." + std::to_string(index) + " ";
}

} // namespace wisteriashunt::standin
