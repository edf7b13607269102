/// Faults in files that people write, with everything needed to mend them.
#pragma once

#include <string>
#include <vector>

namespace wisteriashunt
{

/// One fault of a YAML file.
struct fault
{
    std::string file;
    /// Line from 1 on.
    int line = 0;
    std::string key;
    std::string found;
    std::string allowed;

    auto operator<=>(const fault &) const = default;
};

/// Returns "file:line: key: found X, allowed Y".
[[nodiscard]] std::string toString(const fault &value);

/// Returns one line for each fault.
[[nodiscard]] std::string toString(const std::vector<fault> &faults);

} // namespace wisteriashunt
