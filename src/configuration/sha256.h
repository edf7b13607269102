/// SHA-256 as text.
#pragma once

#include <string>

namespace wisteriashunt
{

/// Returns the lower-case hexadecimal SHA-256 of the text.
[[nodiscard]] std::string sha256Hex(const std::string &text);

} // namespace wisteriashunt
