#include "wisteriashunt/messages.h"

#include <cstdio>

namespace wisteriashunt
{

std::string toString(const request_id &id)
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%llx-%llx", static_cast<unsigned long long>(id.entry), static_cast<unsigned long long>(id.sequence));
    return text.data();
}

} // namespace wisteriashunt
