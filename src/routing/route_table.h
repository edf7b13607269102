/// Lookup of routes, services and workspaces in one version of the declarations.
#pragma once

#include "wisteriashunt/routing.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace wisteriashunt
{

/// Immutable index over routing_declarations. A request uses the same table from start to end.
class route_table
{
public:
    explicit route_table(routing_declarations declarations);
    route_table(const route_table &) = delete;
    route_table &operator=(const route_table &) = delete;

    /// Returns the route of the host with the longest prefix that matches the path, or nullptr if none matches.
    /// The host may include a port, and the target may include a query; both are ignored.
    [[nodiscard]] const route *find(std::string_view host, std::string_view target) const;

    /// Returns the workspace that owns the API key, or nullptr.
    [[nodiscard]] const workspace_declaration *findWorkspace(const std::string &apiKey) const;

    /// Returns the declaration of the service, or nullptr.
    [[nodiscard]] const service_declaration *findService(const std::string &name) const;

    /// Returns the rank of a request, 0 being the most urgent: ordered by the workspace's tier, then by the route's tier.
    /// workspace may be nullptr, which counts as tier 0.
    [[nodiscard]] int rankOf(const route &route, const workspace_declaration *workspace) const;

    [[nodiscard]] const routing_declarations &declarations() const;
    [[nodiscard]] std::int64_t version() const;

private:
    routing_declarations m_declarations;
    /// Routes by host in lower case, then by path prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, const route *>> m_routes;
    std::unordered_map<std::string, const workspace_declaration *> m_workspaces;
    std::unordered_map<std::string, const service_declaration *> m_services;
    int m_routeTierCount = 1;
};

/// Chooses the service of a request by the weights of the route and a hash of the key, so the same key always gets the same service.
/// Returns nullptr if the route has no target.
[[nodiscard]] const std::string *chooseService(const route &route, std::string_view key);

} // namespace wisteriashunt
