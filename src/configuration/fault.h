/// Faults in settings and declaration files, with what is needed to correct them.
#pragma once

#include <string>
#include <vector>

namespace wisteriashunt
{

/// One fault in a YAML file.
struct fault
{
    std::string file;
    /// Line number, starting at 1; 0 if the fault has no line.
    int line = 0;
    /// Path of the key, with dots between the levels.
    std::string key;
    /// Description of the value in the file.
    std::string found;
    /// Description of the accepted values.
    std::string allowed;

    auto operator<=>(const fault &) const = default;
};

/// Returns "file:line: key: found X, allowed Y".
[[nodiscard]] std::string toString(const fault &value);

/// Returns one line for each fault, without a final line break.
[[nodiscard]] std::string toString(const std::vector<fault> &faults);

} // namespace wisteriashunt
