#include "daemon/settings.h"

#include "configuration/yaml_fields.h"

#include <arpa/inet.h>
#include <fstream>
#include <netinet/in.h>
#include <sstream>

namespace wisteriashunt
{

namespace
{

constexpr long maxPort = 65535;
/// A body is sent between processes in one frame, together with the rest of its message.
constexpr long maxBodyBytesLimit = static_cast<long>(maxFrameBytes / 2);
constexpr long maxConnectionsLimit = 65536;
constexpr std::size_t minSecretLength = 16;

peer_address readAddress(yaml_fields &fields, const std::string &key, const std::string &file, std::vector<fault> &faults)
{
    const YAML::Node node = fields.child(key);
    if (!node.IsDefined()) {
        fields.report(key, "nothing", "a map with address and port");
        return {};
    }
    yaml_fields inner(node, file, key, faults);
    peer_address address{.host = inner.readString("address", "", true), .port = static_cast<int>(inner.readInteger("port", 0, 1, maxPort))};
    in_addr parsed{};
    if (!address.host.empty() && inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
        inner.report("address", "\"" + address.host + "\"", "an IPv4 address such as 127.0.0.1");
    }
    if (address.port == 0) {
        inner.report("port", "nothing", "a whole number from 1 to 65535");
    }
    inner.reportUnknownKeys();
    return address;
}

std::string readUrl(yaml_fields &fields, const std::string &key)
{
    const std::string url = fields.readString(key, "", true);
    if (!url.empty() && !url.starts_with("http://") && !url.starts_with("https://")) {
        fields.report(key, "\"" + url + "\"", "a URL that begins with http:// or https://");
    }
    return url;
}

std::vector<peer_key> readKeys(yaml_fields &fields, const std::string &file, std::vector<fault> &faults)
{
    std::vector<peer_key> keys;
    const YAML::Node list = fields.child("peerKeys");
    if (!list.IsDefined() || !list.IsSequence() || list.size() == 0) {
        fields.report("peerKeys", "no list or an empty list", "a list of at least one key with name and secret");
        return keys;
    }
    for (const auto &item : list) {
        yaml_fields inner(item, file, "peerKeys", faults);
        keys.push_back({.name = inner.readName("name", true), .secret = inner.readString("secret", "", true)});
        if (!keys.back().secret.empty() && keys.back().secret.size() < minSecretLength) {
            inner.report("secret", std::to_string(keys.back().secret.size()) + " characters", "at least 16 characters");
        }
        inner.reportUnknownKeys();
    }
    return keys;
}

void readEntry(yaml_fields &fields, const std::string &file, std::vector<fault> &faults, daemon_settings &settings)
{
    yaml_fields inner(fields.child("entry"), file, "entry", faults);
    settings.maxBodyBytes = static_cast<std::size_t>(inner.readInteger("maxBodyBytes", static_cast<long>(settings.maxBodyBytes), 1024, maxBodyBytesLimit));
    settings.maxConnections = static_cast<unsigned>(inner.readInteger("maxConnections", settings.maxConnections, 1, maxConnectionsLimit));
    settings.reservationSample = static_cast<std::size_t>(inner.readInteger("reservationSample", 0, 0, 1000));
    inner.reportUnknownKeys();
}

void readEndpoint(yaml_fields &fields, const std::string &file, std::vector<fault> &faults, daemon_settings &settings)
{
    yaml_fields inner(fields.child("endpoint"), file, "endpoint", faults);
    settings.endpointName = inner.readName("name", true);
    settings.upstreamUrl = readUrl(inner, "url");
    inner.reportUnknownKeys();
}

void readAll(yaml_fields &fields, const std::string &file, std::vector<fault> &faults, daemon_settings &settings)
{
    const std::string role = fields.readChoice("role", {"entry", "endpoint"}, "", true);
    settings.role = role == "endpoint" ? daemon_role::endpoint : daemon_role::entry;
    settings.instance = fields.readName("instance", true);
    settings.availabilityZone = fields.readName("zone", true);
    settings.listen = readAddress(fields, "listen", file, faults);
    settings.admin = readAddress(fields, "admin", file, faults);
    yaml_fields platform(fields.child("platform"), file, "platform", faults);
    settings.logUrl = readUrl(platform, "log");
    settings.instancesUrl = readUrl(platform, "instances");
    platform.reportUnknownKeys();
    settings.peerKeys = readKeys(fields, file, faults);
    settings.drainTimeout = std::chrono::seconds(fields.readInteger("drainSeconds", 120, 1, 3600));
    if (settings.role == daemon_role::endpoint) {
        readEndpoint(fields, file, faults, settings);
    } else {
        readEntry(fields, file, faults, settings);
    }
    yaml_fields logging(fields.child("logging"), file, "logging", faults);
    settings.logFile = logging.readString("file", "");
    settings.logToConsole = logging.readBoolean("console", true);
    logging.reportUnknownKeys();
}

} // namespace

daemon_settings parseSettings(const std::string &file, const std::string &text, std::vector<fault> &faults)
{
    daemon_settings settings;
    try {
        yaml_fields fields(YAML::Load(text), file, "", faults);
        readAll(fields, file, faults, settings);
        fields.reportUnknownKeys();
    } catch (const YAML::Exception &error) {
        faults.push_back({.file = file, .line = error.mark.line + 1, .key = "(document)", .found = error.msg, .allowed = "well-formed YAML"});
    }
    return settings;
}

daemon_settings loadSettings(const std::string &file, std::vector<fault> &faults)
{
    std::ifstream stream(file);
    if (!stream) {
        faults.push_back({.file = file, .line = 0, .key = "(file)", .found = "an unreadable file", .allowed = "a readable YAML file"});
        return {};
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parseSettings(file, text.str(), faults);
}

} // namespace wisteriashunt
