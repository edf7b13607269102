/// Fixture of tests that run entries on real sockets, with callers, endpoints and a platform log that the tests script.
#pragma once

#include "entry_standins.h"
#include "gateway/gateway.h"
#include "platform/adapter.h"

#include <gtest/gtest.h>

#include <thread>

namespace wisteriashunt::testing
{

/// Runs entries with a fake log and scripted endpoints.
class gateway_test : public ::testing::Test
{
protected:
    void TearDown() override
    {
        endEntries();
    }

    /// Lets all entries leave, as SIGTERM does.
    void requestStop()
    {
        m_isStopRequested = true;
    }

    /// Ends all entries; others may be launched afterwards.
    void endEntries()
    {
        requestStop();
        for (auto &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
        m_isStopRequested = false;
    }

    /// Starts the endpoints and the entry, and waits until the entry is ready.
    void start(const loopback_server::handler &first, const loopback_server::handler &second = nullptr)
    {
        m_endpoints.push_back(std::make_unique<loopback_server>(first));
        if (second) {
            m_endpoints.push_back(std::make_unique<loopback_server>(second));
        }
        for (std::size_t i = 0; i < m_endpoints.size(); ++i) {
            m_log.putEndpoint("e" + std::to_string(i), m_endpoints[i]->port());
        }
        m_log.put("keyed.servers", "broken", "{\"service\":5}");
        launch(settingsForTests(m_ports, m_log.port()));
        waitUntilReady(m_ports.readiness);
    }

    void launch(const std::string &text)
    {
        m_threads.emplace_back([this, text] {
            const boot_clock clock;
            auto settings = platform::parseSettings(text);
            settings.acceptWhileLeaving = m_acceptWhileLeaving;
            settings.gracePeriod = m_gracePeriod;
            settings.metricsAddress.reset();
            settings.maxMemoryBytes = m_memoryBytes;
            settings.retries.slack = m_retrySlack;
            settings.hedging = m_hedging;
            gateway entry({.settings = settings,
                           .dialect = platform::makeWireDialect(),
                           .logDialect = platform::makeLogDialect(),
                           .dutyDialect = platform::makeDutyDialect(),
                           .decoders = platform::makeRecordDecoders(),
                           .isStopRequested = [this] { return m_isStopRequested.load(); },
                           .takeReloadRequest = [] { return false; },
                           .reloadSettings = [text] { return platform::parseSettings(text); }},
                          clock);
            entry.run();
        });
    }

    static void waitUntilReady(std::uint16_t port)
    {
        while (readinessStatus(port) != 200) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    static std::string request(const std::string &path, const std::string &fields = "", const std::string &body = "", const std::string &key = "key-1")
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer " + key + "\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// Sends one request on a new connection and returns all bytes of the answer.
    std::string callOnce(std::string bytes) const
    {
        return callOnceAt(m_ports.callers, std::move(bytes));
    }

    static std::string callOnceAt(std::uint16_t port, std::string bytes)
    {
        const std::string host = "Host: h.example\r\n";
        bytes.insert(bytes.find(host) + host.size(), "Connection: close\r\n");
        raw_caller caller(port);
        caller.send(bytes);
        return caller.readAll();
    }

    std::vector<std::unique_ptr<loopback_server>> m_endpoints;
    fake_log m_log;
    entry_ports m_ports;
    std::size_t m_memoryBytes = 260'000'000;
    double m_retrySlack = 52;
    duration m_acceptWhileLeaving{};
    duration m_gracePeriod = std::chrono::seconds(8);
    hedge_limits m_hedging;

private:
    std::atomic<bool> m_isStopRequested{false};
    std::vector<std::thread> m_threads;
};

} // namespace wisteriashunt::testing
