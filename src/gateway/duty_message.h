/// Messages between entries about the duties of one of them.
#pragma once

#include "duties/scaling_duty.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisteriashunt
{

/// What an entry tells its peers of orders of endpoints.
struct orders_part
{
    duty_notice notice;
    /// Told only to the entries that hold the duty or are next to hold it.
    std::optional<scaling_figures> figures;

    bool operator==(const orders_part &) const = default;
};

/// Most rows of figures in a message.
inline constexpr std::size_t maxScalingRows = 256;

/// What an entry tells its peers of duties.
struct duty_message
{
    duty_notice notice;
    /// Told only to the entries that hold the duty or are next to hold it.
    std::optional<usage_digest> usage;
    /// Unset if the sender has no part in orders. Entries of earlier versions skip it.
    std::optional<orders_part> orders;

    bool operator==(const duty_message &) const = default;
};

/// Version of the format, which is the first member of the array; see entry_message.cpp for the others.
inline constexpr int dutyFormatVersion = 5;

[[nodiscard]] std::string encodeDutyMessage(const duty_message &message);

/// Throws shunt_error(malformed_frame) if the bytes are not a valid message.
[[nodiscard]] duty_message decodeDutyMessage(std::string_view bytes);

} // namespace wisteriashunt
