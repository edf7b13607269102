/// Counts the memory that messages take in a process: requests from their first byte on, and answers that are not sent yet.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace wisteriashunt
{

/// Sum of what all holders of a process take. Not thread-safe.
class memory_ledger
{
public:
    /// A limit of 0 is none. What this ledger counts, its parent counts too.
    explicit memory_ledger(std::size_t limitBytes = 0, std::shared_ptr<memory_ledger> parent = nullptr)
        : m_limitBytes(limitBytes)
        , m_parent(std::move(parent))
    {
    }

    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }
    [[nodiscard]] std::size_t limitBytes() const
    {
        return m_limitBytes;
    }
    [[nodiscard]] bool isOver() const
    {
        return m_limitBytes != 0 && m_bytes > m_limitBytes;
    }

private:
    friend class memory_charge;

    void replace(std::size_t before, std::size_t after)
    {
        m_bytes += after;
        m_bytes -= before;
        if (m_parent != nullptr) {
            m_parent->replace(before, after);
        }
    }

    std::size_t m_limitBytes;
    std::shared_ptr<memory_ledger> m_parent;
    std::size_t m_bytes = 0;
};

/// One holder's part of the sum, for as long as it exists.
class memory_charge
{
public:
    explicit memory_charge(std::shared_ptr<memory_ledger> ledger)
        : m_ledger(std::move(ledger))
    {
    }
    ~memory_charge()
    {
        set(0);
    }
    memory_charge(const memory_charge &) = delete;
    memory_charge &operator=(const memory_charge &) = delete;

    void set(std::size_t bytes)
    {
        m_ledger->replace(std::exchange(m_bytes, bytes), bytes);
    }
    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::shared_ptr<memory_ledger> m_ledger;
    std::size_t m_bytes = 0;
};

} // namespace wisteriashunt
