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

/// Reader of one YAML map. An absent or empty field reads as `fallback`; an invalid value is reported as a fault.
/// Call `reportUnknownKeys` after the last read.
class yaml_fields
{
public:
    /// `file` and `path` (the dotted path of the map in the file) appear in faults. Faults are appended to `faults`, which must outlive
    /// the reader.
    yaml_fields(const YAML::Node &map, std::string file, std::string path, std::vector<fault> &faults);

    /// Reads a string. Reports a fault if it is absent or empty and `required` is set.
    std::string readString(const std::string &key, const std::string &fallback, bool required = false);

    /// Reads a name of 1 to 63 lower-case letters, digits, dots and dashes. An absent name reads as an empty string and is a fault if
    /// `required` is set.
    std::string readName(const std::string &key, bool required);

    /// Reads one of the listed words. An invalid word is reported and still returned.
    std::string readChoice(const std::string &key, const std::vector<std::string> &choices, const std::string &fallback, bool required = false);

    /// Reads a number from `minimum` to `maximum`, both included. Returns `fallback` if it is invalid.
    long readInteger(const std::string &key, long fallback, long minimum, long maximum);
    double readNumber(const std::string &key, double fallback, double minimum, double maximum);
    bool readBoolean(const std::string &key, bool fallback);

    /// Reads a whole number of milliseconds; `minimum` and `maximum` are in milliseconds.
    duration readMilliseconds(const std::string &key, duration fallback, long minimum, long maximum);

    /// Reads a list of non-empty strings. Leaves out invalid items and returns an empty list if the key is absent.
    std::vector<std::string> readStrings(const std::string &key);

    /// Returns the value of the key, which may be undefined, and marks the key as known.
    YAML::Node child(const std::string &key);

    /// Adds a fault at the line of the key, or of the map if the key is absent.
    void report(const std::string &key, const std::string &found, const std::string &allowed);

    /// Reports each key of the map that has not been read.
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
