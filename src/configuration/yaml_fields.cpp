#include "configuration/yaml_fields.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cctype>

namespace wisteriashunt
{

namespace
{

constexpr std::size_t maxNameLength = 63;

int lineOf(const YAML::Node &node)
{
    return node.Mark().is_null() ? 0 : node.Mark().line + 1;
}

bool isValidName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::islower(c) != 0 || std::isdigit(c) != 0 || c == '-' || c == '.'; });
}

} // namespace

std::string toString(const fault &value)
{
    return absl::StrCat(value.file, ":", value.line, ": ", value.key, ": found ", value.found, ", allowed ", value.allowed);
}

std::string toString(const std::vector<fault> &faults)
{
    return absl::StrJoin(faults, "\n", [](std::string *out, const fault &value) { out->append(toString(value)); });
}

yaml_fields::yaml_fields(const YAML::Node &map, std::string file, std::string path, std::vector<fault> &faults)
    : m_map(map.IsDefined() && !map.IsNull() ? map : YAML::Node(YAML::NodeType::Map))
    , m_file(std::move(file))
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (!m_map.IsMap()) {
        m_faults.push_back({.file = m_file, .line = lineOf(m_map), .key = m_path, .found = "a value that is not a map", .allowed = "a map of keys and values"});
        m_map = YAML::Node(YAML::NodeType::Map);
    }
}

std::string yaml_fields::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void yaml_fields::report(const std::string &key, const std::string &found, const std::string &allowed)
{
    const YAML::Node node = m_map.IsMap() ? m_map[key] : YAML::Node(YAML::NodeType::Undefined);
    const int line = node.IsDefined() ? lineOf(node) : lineOf(m_map);
    m_faults.push_back({.file = m_file, .line = line, .key = pathOf(key), .found = found, .allowed = allowed});
}

YAML::Node yaml_fields::child(const std::string &key)
{
    m_knownKeys.insert(key);
    const YAML::Node &map = m_map;
    return map.IsMap() ? map[key] : YAML::Node(YAML::NodeType::Undefined);
}

std::string yaml_fields::readScalar(const std::string &key)
{
    const YAML::Node node = child(key);
    if (!node.IsDefined() || node.IsNull()) {
        return {};
    }
    if (!node.IsScalar()) {
        report(key, "a list or a map", "a single value");
        return {};
    }
    return node.Scalar();
}

std::string yaml_fields::readString(const std::string &key, const std::string &fallback, bool required)
{
    const std::string text = readScalar(key);
    if (text.empty() && required) {
        report(key, "nothing", "a non-empty string");
    }
    return text.empty() ? fallback : text;
}

std::string yaml_fields::readName(const std::string &key, bool required)
{
    const std::string text = readString(key, "", required);
    if (!text.empty() && !isValidName(text)) {
        report(key, absl::StrCat("\"", text, "\""), "1 to 63 lower-case letters, digits, dots and dashes");
    }
    return text;
}

std::string yaml_fields::readChoice(const std::string &key, const std::vector<std::string> &choices, const std::string &fallback, bool required)
{
    const std::string text = readString(key, fallback, required);
    if (!text.empty() && std::find(choices.begin(), choices.end(), text) == choices.end()) {
        report(key, absl::StrCat("\"", text, "\""), absl::StrCat("one of ", absl::StrJoin(choices, ", ")));
    }
    return text;
}

long yaml_fields::readInteger(const std::string &key, long fallback, long minimum, long maximum)
{
    const std::string text = readScalar(key);
    if (text.empty()) {
        return fallback;
    }
    std::int64_t value = 0;
    if (!absl::SimpleAtoi(text, &value) || value < minimum || value > maximum) {
        report(key, absl::StrCat("\"", text, "\""), absl::StrCat("a whole number from ", minimum, " to ", maximum));
        return fallback;
    }
    return value;
}

double yaml_fields::readNumber(const std::string &key, double fallback, double minimum, double maximum)
{
    const std::string text = readScalar(key);
    if (text.empty()) {
        return fallback;
    }
    double value = 0;
    if (!absl::SimpleAtod(text, &value) || !(value >= minimum && value <= maximum)) {
        report(key, absl::StrCat("\"", text, "\""), absl::StrCat("a number from ", minimum, " to ", maximum));
        return fallback;
    }
    return value;
}

bool yaml_fields::readBoolean(const std::string &key, bool fallback)
{
    const std::string text = readScalar(key);
    if (text.empty()) {
        return fallback;
    }
    if (text != "true" && text != "false") {
        report(key, absl::StrCat("\"", text, "\""), "true or false");
        return fallback;
    }
    return text == "true";
}

duration yaml_fields::readMilliseconds(const std::string &key, duration fallback, long minimum, long maximum)
{
    const auto fallbackMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds(readInteger(key, fallbackMilliseconds, minimum, maximum));
}

std::vector<std::string> yaml_fields::readStrings(const std::string &key)
{
    std::vector<std::string> values;
    const YAML::Node node = child(key);
    if (!node.IsDefined() || node.IsNull()) {
        return values;
    }
    if (!node.IsSequence()) {
        report(key, "a value that is not a list", "a list of strings");
        return values;
    }
    for (const auto &item : node) {
        if (item.IsScalar() && !item.Scalar().empty()) {
            values.push_back(item.Scalar());
        } else {
            report(key, "an item that is empty or not a string", "a list of non-empty strings");
        }
    }
    return values;
}

void yaml_fields::reportUnknownKeys()
{
    if (!m_map.IsMap()) {
        return;
    }
    for (const auto &item : m_map) {
        const std::string key = item.first.IsScalar() ? item.first.Scalar() : "(not a scalar)";
        if (!m_knownKeys.contains(key)) {
            m_faults.push_back({.file = m_file,
                                .line = lineOf(item.first),
                                .key = pathOf(key),
                                .found = "an unknown key",
                                .allowed = absl::StrCat("one of ", absl::StrJoin(m_knownKeys, ", "))});
        }
    }
}

} // namespace wisteriashunt
