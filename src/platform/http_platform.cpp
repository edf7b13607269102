#include "platform/http_platform.h"

#include "wisteriashunt/errors.h"

#include <nlohmann/json.hpp>

namespace wisteriashunt
{

namespace
{

using nlohmann::json;

constexpr duration callTimeout = std::chrono::seconds(2);
constexpr int okStatus = 200;

json parseReply(const http_reply &reply, const std::string &operation)
{
    json parsed = json::parse(reply.body, nullptr, false);
    if (reply.status != okStatus || parsed.is_discarded()) {
        throw shunt_error(error_kind::platform_unavailable,
                          operation + " failed: expected status 200 and a JSON body, found status " + std::to_string(reply.status));
    }
    return parsed;
}

} // namespace

http_log_service::http_log_service(std::string baseUrl)
    : m_baseUrl(std::move(baseUrl))
{
}

log_offset http_log_service::append(const std::string &stream, const std::vector<std::string> &records)
{
    const std::string url = m_baseUrl + "/v1/streams/" + stream + "/records";
    const json body{{"records", records}};
    try {
        return parseReply(m_client.post(url, body.dump(), callTimeout), "log append").at("offset").get<log_offset>();
    } catch (const json::exception &error) {
        throw shunt_error(error_kind::platform_unavailable, error.what());
    }
}

log_page http_log_service::read(const std::string &stream, log_offset from, duration wait)
{
    const auto waitMs = static_cast<long>(toMilliseconds(wait));
    const std::string url = m_baseUrl + "/v1/streams/" + stream + "/records?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(waitMs);
    const http_reply reply = m_client.get(url, callTimeout + wait);
    try {
        const json parsed = parseReply(reply, "log read");
        log_page page{.firstRetained = parsed.at("first").get<log_offset>(), .next = parsed.at("next").get<log_offset>(), .records = {}};
        for (const auto &item : parsed.at("records")) {
            page.records.push_back({.offset = item.at("offset").get<log_offset>(), .data = item.at("data").get<std::string>()});
        }
        return page;
    } catch (const json::exception &error) {
        throw shunt_error(error_kind::platform_unavailable, error.what());
    }
}

http_instance_list::http_instance_list(std::string baseUrl)
    : m_baseUrl(std::move(baseUrl))
{
}

std::vector<instance_row> http_instance_list::read()
{
    const http_reply reply = m_client.get(m_baseUrl + "/v1/instances", callTimeout);
    std::vector<instance_row> rows;
    try {
        const json parsed = parseReply(reply, "instance list read");
        for (const auto &item : parsed.at("instances")) {
            rows.push_back({.name = item.at("name").get<std::string>(),
                            .role = item.at("role").get<std::string>(),
                            .endpointName = item.at("endpoint").get<std::string>(),
                            .availabilityZone = item.at("zone").get<std::string>(),
                            .address = item.at("address").get<std::string>(),
                            .port = item.at("port").get<int>(),
                            .adminPort = item.at("adminPort").get<int>(),
                            .leaving = item.at("leaving").get<bool>()});
        }
    } catch (const json::exception &error) {
        throw shunt_error(error_kind::platform_unavailable, error.what());
    }
    return rows;
}

void http_instance_list::announce(const instance_row &row)
{
    const json body{{"name", row.name},
                    {"role", row.role},
                    {"endpoint", row.endpointName},
                    {"zone", row.availabilityZone},
                    {"address", row.address},
                    {"port", row.port},
                    {"adminPort", row.adminPort},
                    {"leaving", row.leaving}};
    parseReply(m_client.post(m_baseUrl + "/v1/instances", body.dump(), callTimeout), "instance announcement");
}

} // namespace wisteriashunt
