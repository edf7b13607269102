/// A route together with the table that owns it.
#pragma once

#include "routing/route_table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace wisteriashunt
{

/// What a request's host and path match in one version of the declarations. Keeps that version's table alive, so a request may hold it while later
/// versions come into force.
class matched_route
{
public:
    /// No declarations are known.
    matched_route() = default;
    /// found: a route of the table, or nullptr if none matches.
    matched_route(std::shared_ptr<const route_table> table, const route *found)
        : m_table(std::move(table))
        , m_route(found)
    {
    }

    /// Whether a route matches.
    [[nodiscard]] explicit operator bool() const
    {
        return m_route != nullptr;
    }
    [[nodiscard]] const route &operator*() const
    {
        return *m_route;
    }
    [[nodiscard]] const route *operator->() const
    {
        return m_route;
    }
    /// The table that was searched; nullptr without declarations.
    [[nodiscard]] const std::shared_ptr<const route_table> &table() const
    {
        return m_table;
    }
    /// Version of the declarations that were searched.
    [[nodiscard]] std::optional<std::int64_t> version() const
    {
        return m_table == nullptr ? std::nullopt : std::optional(m_table->version());
    }

    bool operator==(const matched_route &) const = default;

private:
    std::shared_ptr<const route_table> m_table;
    const route *m_route = nullptr;
};

} // namespace wisteriashunt
