#include "routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace wisteriashunt
{

namespace
{

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

route_table::route_table(routing_declarations declarations)
    : m_declarations(std::move(declarations))
{
    for (const auto &declared : m_declarations.routes) {
        m_routes[normalizedHost(declared.host)][declared.pathPrefix] = &declared;
        m_routeTierCount = std::max(m_routeTierCount, declared.tier + 1);
    }
    for (const auto &workspace : m_declarations.workspaces) {
        for (const auto &key : workspace.apiKeys) {
            m_workspaces[key] = &workspace;
        }
    }
    for (const auto &service : m_declarations.services) {
        m_services[service.name] = &service;
    }
}

const route *route_table::find(std::string_view host, std::string_view target) const
{
    const auto routes = m_routes.find(normalizedHost(host));
    if (routes == m_routes.end()) {
        return nullptr;
    }
    std::string_view path = target.substr(0, target.find('?'));
    // Declared prefixes end with a slash, so only parts of the path up to a slash can match.
    while (!path.empty()) {
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto match = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (match != routes->second.end()) {
            return match->second;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const workspace_declaration *route_table::findWorkspace(const std::string &apiKey) const
{
    const auto position = m_workspaces.find(apiKey);
    return position == m_workspaces.end() ? nullptr : position->second;
}

const service_declaration *route_table::findService(const std::string &name) const
{
    const auto position = m_services.find(name);
    return position == m_services.end() ? nullptr : position->second;
}

int route_table::rankOf(const route &route, const workspace_declaration *workspace) const
{
    const int workspaceTier = workspace == nullptr ? 0 : workspace->tier.value_or(0);
    return workspaceTier * m_routeTierCount + route.tier;
}

const routing_declarations &route_table::declarations() const
{
    return m_declarations;
}

std::int64_t route_table::version() const
{
    return m_declarations.version;
}

const std::string *chooseService(const route &route, std::string_view key)
{
    const auto total = std::accumulate(
        route.targets.begin(), route.targets.end(), std::uint64_t{0}, [](std::uint64_t sum, const route_target &target) { return sum + target.weight; });
    if (total == 0) {
        return route.targets.empty() ? nullptr : &route.targets.front().service;
    }
    std::uint64_t offset = std::hash<std::string_view>{}(key) % total;
    for (const auto &target : route.targets) {
        if (offset < target.weight) {
            return &target.service;
        }
        offset -= target.weight;
    }
    return nullptr;
}

} // namespace wisteriashunt
