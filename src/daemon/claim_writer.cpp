#include "daemon/claim_writer.h"

#include "wisteriashunt/errors.h"

namespace wisteriashunt
{

namespace
{

constexpr duration popTimeout = std::chrono::milliseconds(100);

} // namespace

claim_writer::claim_writer(const claim_writer_options &options, std::unique_ptr<log_service> log)
    : m_options(options)
    , m_log(std::move(log))
    , m_ring(options.ringCapacity)
    , m_thread([this] { run(); })
{
}

claim_writer::~claim_writer()
{
    m_isStopping = true;
    m_ring.close();
    m_thread.join();
}

void claim_writer::append(const std::string &record)
{
    m_ring.push(record);
}

void claim_writer::run()
{
    std::vector<std::string> pending;
    while (!m_isStopping || !pending.empty()) {
        if (pending.empty()) {
            pending = m_ring.popAll(popTimeout);
            if (pending.empty()) {
                continue;
            }
            std::this_thread::sleep_for(m_options.batchInterval);
        }
        for (auto &record : m_ring.popAll(duration::zero())) {
            pending.push_back(std::move(record));
        }
        try {
            m_log->append(claimStream, pending);
            pending.clear();
        } catch (const shunt_error &) {
            if (m_isStopping) {
                return;
            }
            std::this_thread::sleep_for(m_options.retryInterval);
        }
    }
}

} // namespace wisteriashunt
