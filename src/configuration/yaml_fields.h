/// Reads fields of a YAML map and collects every fault instead of stopping at the first one.
#pragma once

#include "configuration/fault.h"
#include "wisteriashunt/time.h"

#include <yaml-cpp/yaml.h>

#include <set>
#include <string>
#include <vector>

namespace wisteriashunt
{

/// Reader of one map. After the last read, `reportUnknownKeys` reports the keys that nobody asked for.
class yaml_fields
{
public:
    yaml_fields(const YAML::Node &map, std::string file, std::string path, std::vector<fault> &faults);

    /// Reads a string that matches `allowed` in words; an absent optional field returns `fallback`.
    std::string readString(const std::string &key, const std::string &fallback, bool required = false);

    /// Reads a name: lower-case letters, digits, dots and dashes, at most 63.
    std::string readName(const std::string &key, bool required);

    /// Reads one of the listed words.
    std::string readChoice(const std::string &key, const std::vector<std::string> &choices, const std::string &fallback, bool required = false);

    long readInteger(const std::string &key, long fallback, long minimum, long maximum);
    double readNumber(const std::string &key, double fallback, double minimum, double maximum);
    bool readBoolean(const std::string &key, bool fallback);

    /// Reads whole milliseconds.
    duration readMilliseconds(const std::string &key, duration fallback, long minimum, long maximum);

    std::vector<std::string> readStrings(const std::string &key);

    /// Returns the node, which may be undefined, and marks the key as known.
    YAML::Node child(const std::string &key);

    /// Adds a fault at the key.
    void report(const std::string &key, const std::string &found, const std::string &allowed);

    /// Reports unknown keys.
    void reportUnknownKeys();

private:
    [[nodiscard]] std::string readScalar(const std::string &key);
    [[nodiscard]] std::string pathOf(const std::string &key) const;

    YAML::Node m_map;
    std::string m_file;
    std::string m_path;
    std::vector<fault> &m_faults;
    std::set<std::string> m_knownKeys;
};

} // namespace wisteriashunt
