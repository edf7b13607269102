/// Declarations of operators: YAML documents with kind, name and spec.
#pragma once

#include "configuration/fault.h"
#include "wisteriashunt/resources.h"

#include <string>
#include <variant>
#include <vector>

namespace wisteriashunt
{

/// Any resource.
using resource = std::variant<traffic_class, workspace, endpoint>;

/// Returns "class", "workspace" or "endpoint".
[[nodiscard]] std::string kindOf(const resource &value);
[[nodiscard]] std::string nameOf(const resource &value);

/// Parses all documents of the text. Every fault is added to `faults`; documents without a fault are returned.
[[nodiscard]] std::vector<resource> parseDeclarations(const std::string &file, const std::string &text, std::vector<fault> &faults);

/// Returns the resource as a YAML document that `parseDeclarations` reads back.
[[nodiscard]] std::string toYaml(const resource &value);

/// Checks rules that span resources: references to endpoints and classes, and the sum of the floors at each endpoint.
[[nodiscard]] std::vector<std::string> checkConsistency(const configuration_state &state);

/// Largest sum of declared floors at one endpoint. The rest is always served by tier.
constexpr double maxFloorSum = 0.5;

} // namespace wisteriashunt
