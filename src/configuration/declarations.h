/// Operators' declarations of resources: YAML documents with the keys kind, name and spec.
#pragma once

#include "configuration/fault.h"
#include "wisteriashunt/resources.h"

#include <string>
#include <variant>
#include <vector>

namespace wisteriashunt
{

/// A resource of any kind.
using resource = std::variant<traffic_class, workspace, endpoint>;

/// Returns "class", "workspace" or "endpoint".
[[nodiscard]] std::string kindOf(const resource &value);
[[nodiscard]] std::string nameOf(const resource &value);

/// Parses all documents of the text. Appends every fault to `faults`, with `file` as its file, and returns the documents without faults.
[[nodiscard]] std::vector<resource> parseDeclarations(const std::string &file, const std::string &text, std::vector<fault> &faults);

/// Returns the resource as a YAML document that `parseDeclarations` accepts.
[[nodiscard]] std::string toYaml(const resource &value);

/// Checks the rules that span resources: each reference names a declared endpoint or class, and the floors at each endpoint add up to
/// at most `maxFloorSum`. Returns one message for each violation.
[[nodiscard]] std::vector<std::string> checkConsistency(const configuration_state &state);

/// Largest sum of declared floors at one endpoint. The rest of the endpoint's capacity is always allocated by tier.
constexpr double maxFloorSum = 0.5;

} // namespace wisteriashunt
