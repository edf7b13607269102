/// Clients of the platform's log and instance list over HTTP and JSON, for wisteriashuntd and wisteriashuntctl. In these programs only these
/// classes depend on the platform's protocol; wisteriashunt-entry uses the adapter in the top-level folder platform/ instead.
#pragma once

#include "platform/http_client.h"
#include "wisteriashunt/platform.h"

namespace wisteriashunt
{

/// Log service at a base URL such as "http://127.0.0.1:9000".
class http_log_service final : public log_service
{
public:
    explicit http_log_service(std::string baseUrl);
    log_offset append(const std::string &stream, const std::vector<std::string> &records) override;
    log_page read(const std::string &stream, log_offset from, duration wait) override;

private:
    http_client m_client;
    std::string m_baseUrl;
};

/// Instance list at a base URL.
class http_instance_list final : public instance_list
{
public:
    explicit http_instance_list(std::string baseUrl);
    std::vector<instance_row> read() override;
    void announce(const instance_row &row) override;

private:
    http_client m_client;
    std::string m_baseUrl;
};

} // namespace wisteriashunt
