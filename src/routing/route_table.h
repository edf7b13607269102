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

/// Immutable index over routing_declarations. Requests keep the table with which they began.
class route_table
{
public:
    explicit route_table(routing_declarations declarations);
    route_table(const route_table &) = delete;
    route_table &operator=(const route_table &) = delete;

    /// The route of that host whose prefix is the longest that begins the path; nullptr if none matches.
    /// The host may carry a port; the target may carry a query.
    [[nodiscard]] const route *find(std::string_view host, std::string_view target) const;

    /// The workspace that holds the API key, or nullptr.
    [[nodiscard]] const workspace_declaration *findWorkspace(const std::string &apiKey) const;

    /// The declaration of the service, or nullptr.
    [[nodiscard]] const service_declaration *findService(const std::string &name) const;

    /// Place of a request in the order of urgency, 0 being the first: the workspace's tier decides, the route's tier among equals.
    /// workspace may be nullptr.
    [[nodiscard]] int rankOf(const route &route, const workspace_declaration *workspace) const;

    [[nodiscard]] const routing_declarations &declarations() const;
    [[nodiscard]] std::int64_t version() const;

private:
    routing_declarations m_declarations;
    /// Host in lower case, then prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, const route *>> m_routes;
    std::unordered_map<std::string, const workspace_declaration *> m_workspaces;
    std::unordered_map<std::string, const service_declaration *> m_services;
    int m_routeTierCount = 1;
};

/// Chooses the service of a request by the weights of the route. The same key always gets the same service.
/// Returns nullptr if the route has no target.
[[nodiscard]] const std::string *chooseService(const route &route, std::string_view key);

} // namespace wisteriashunt
