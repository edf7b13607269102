#include "process_fixture.h"

#include "configuration/reducer.h"
#include "configuration/sha256.h"
#include "platform/http_platform.h"
#include "request/router.h"
#include "wisteriashunt/errors.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace wisteriashunt::testing
{

namespace
{

constexpr const char *apiKey = "key-of-the-tests";
constexpr long callTimeoutSeconds = 60;

struct call_context
{
    caller_reply *reply;
    const std::function<bool(const std::string &)> *onData;
};

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *call = static_cast<call_context *>(context);
    call->reply->body.append(data, size * count);
    const bool shouldContinue = !*call->onData || (*call->onData)(call->reply->body);
    return shouldContinue ? size * count : 0;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    const std::string line(data, size * count);
    const std::string prefix = "Retry-After: ";
    if (line.starts_with(prefix)) {
        static_cast<call_context *>(context)->reply->retryAfter = line.substr(prefix.size(), line.find('\r') - prefix.size());
    }
    return size * count;
}

std::string urlOf(int port, const std::string &path)
{
    return "http://127.0.0.1:" + std::to_string(port) + path;
}

header_list withApiKey(const header_list &extraHeaders = {})
{
    header_list headers{std::string("Authorization: Bearer ") + apiKey};
    headers.insert(headers.end(), extraHeaders.begin(), extraHeaders.end());
    return headers;
}

} // namespace

caller_reply callHttp(const std::string &method,
                      const std::string &url,
                      const std::string &body,
                      const header_list &headers,
                      const std::function<bool(const std::string &)> &onData)
{
    caller_reply reply;
    call_context context{.reply = &reply, .onData = &onData};
    CURL *easy = curl_easy_init();
    curl_slist *list = curl_slist_append(curl_slist_append(nullptr, "Content-Type: application/json"), "Expect:");
    for (const auto &header : headers) {
        list = curl_slist_append(list, header.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT, callTimeoutSeconds);
    if (method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &context);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &context);
    const CURLcode code = curl_easy_perform(easy);
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    reply.isIncomplete = code != CURLE_OK;
    curl_slist_free_all(list);
    curl_easy_cleanup(easy);
    return reply;
}

void process_fixture::SetUp()
{
    std::string pattern = std::filesystem::temp_directory_path() / "wisteriashunt-XXXXXX";
    m_directory = mkdtemp(pattern.data());
    const std::string standins = SHUNT_STANDIN_DIR;
    launch("platform", {standins + "/standin_platform", "--port=" + std::to_string(platformPort), "--list_lag_ms=50", "--list_expiry_ms=3000"});
    launch("engine-a", {standins + "/standin_engine", "--port=" + std::to_string(engineAPort)});
    launch("engine-b", {standins + "/standin_engine", "--port=" + std::to_string(engineBPort)});
    launch("booking", {standins + "/standin_booking", "--port=" + std::to_string(bookingPort)});
    waitUntil("the platform answers", [] { return callHttp("GET", urlOf(platformPort, "/v1/instances"), "").status == 200; });
    declareResources();
    const auto endpointPart = [](const std::string &name, int port) { return "endpoint: {name: " + name + ", url: \"" + urlOf(port, "") + "\"}\n"; };
    writeSettings("endpoint-a", 0, "endpoint", endpointPart("e-a", engineAPort));
    writeSettings("endpoint-b", 1, "endpoint", endpointPart("e-b", engineBPort));
    writeSettings("endpoint-c", 2, "endpoint", endpointPart("e-c", bookingPort));
    writeSettings("entry-a", 3, "entry", "entry: {maxBodyBytes: 65536}\n");
    writeSettings("entry-b", 4, "entry", "entry: {maxBodyBytes: 65536}\n");
    for (const auto *name : {"endpoint-a", "endpoint-b", "endpoint-c", "entry-a", "entry-b"}) {
        launchDaemon(name);
    }
    constexpr std::size_t allEndpoints = 3;
    waitUntilReady("entry-a", allEndpoints);
    waitUntilReady("entry-b", allEndpoints);
}

void process_fixture::TearDown()
{
    for (const auto &[name, pid] : m_processes) {
        kill(pid, SIGCONT);
        kill(pid, SIGKILL);
    }
    for (const auto &[name, pid] : m_processes) {
        waitpid(pid, nullptr, 0);
    }
    std::filesystem::remove_all(m_directory);
}

void process_fixture::declareResources()
{
    const std::vector<std::string> engines{"e-a", "e-b"};
    const std::vector<resource> declared{
        endpoint{.name = "e-a", .resumes = true, .echoesRequestId = true},
        endpoint{.name = "e-b", .resumes = true, .echoesRequestId = true},
        endpoint{.name = "e-c", .kind = endpoint_kind::service},
        traffic_class{.name = "chat", .tier = 2, .endpoints = engines, .models = {"m"}},
        traffic_class{.name = "bookings", .tier = 1, .endpoints = {"e-c"}, .nonIdempotent = {"POST /deposits"}, .services = {"booking"}},
        workspace{.name = "agency", .keyHashes = {sha256Hex(apiKey)}}};
    http_log_service log(urlOf(platformPort, ""));
    for (const auto &value : declared) {
        log.append(configurationStream,
                   {makeChangeRecord({.changeId = nameOf(value), .author = "test", .changedAt = "now", .baseVersion = 0, .isDelete = false, .value = value})});
    }
}

void process_fixture::writeSettings(const std::string &name, int index, const std::string &role, const std::string &rest)
{
    const bool isEntry = role == "entry";
    const int port = isEntry ? entryAPort + index - 3 : peerBasePort + index;
    m_adminPorts[name] = adminBasePort + index;
    std::ofstream file(m_directory + "/" + name + ".yaml");
    file << "role: " << role << "\ninstance: " << name << "\nzone: zone-1\n"
         << "listen: {address: 127.0.0.1, port: " << port << "}\nadmin: {address: 127.0.0.1, port: " << adminBasePort + index << "}\n"
         << "platform: {log: \"" << urlOf(platformPort, "") << "\", instances: \"" << urlOf(platformPort, "") << "\"}\n"
         << "peerKeys: [{name: k, secret: secret-of-the-tests}]\nlogging: {console: false, file: " << m_directory << "/" << name << ".log}\n"
         << rest;
}

void process_fixture::launch(const std::string &name, const std::vector<std::string> &arguments)
{
    m_processes[name] = startProcess(arguments, "/dev/null");
}

void process_fixture::launchDaemon(const std::string &name)
{
    launch(name, {SHUNT_DAEMON, "--config=" + m_directory + "/" + name + ".yaml"});
}

void process_fixture::signalProcess(const std::string &name, int signal)
{
    kill(m_processes.at(name), signal);
}

int process_fixture::waitForExit(const std::string &name)
{
    int status = 0;
    waitUntil(name + " ends", [&] { return waitpid(m_processes.at(name), &status, WNOHANG) != 0; });
    m_processes.erase(name);
    return exitStatusOf(status);
}

void process_fixture::replaceKeys(const std::string &name, const std::string &keys)
{
    const std::string path = m_directory + "/" + name + ".yaml";
    std::ifstream before(path);
    std::ostringstream after;
    for (std::string line; std::getline(before, line);) {
        after << (line.starts_with("peerKeys:") ? "peerKeys: [" + keys + "]" : line) << '\n';
    }
    std::ofstream(path) << after.str();
    m_logOffsets[name] = std::filesystem::file_size(m_directory + "/" + name + ".log");
}

bool process_fixture::hasEventInLog(const std::string &name, const std::string &event) const
{
    std::ifstream stream(m_directory + "/" + name + ".log");
    stream.seekg(static_cast<std::streamoff>(m_logOffsets.at(name)));
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str().find("name=" + event) != std::string::npos;
}

int process_fixture::signalAndWait(const std::string &name, int signal)
{
    signalProcess(name, signal);
    return waitForExit(name);
}

void process_fixture::waitUntilReady(const std::string &instance, std::size_t usableEndpoints)
{
    waitUntil(instance + " is ready", [&] {
        const auto page = nlohmann::json::parse(fetch(m_adminPorts.at(instance), "/status"), nullptr, false);
        constexpr int declaredResources = 6;
        return page.is_object() && page.value("ready", false) && page.value("configuration", 0) >= declaredResources
            && page.value("usableEndpoints", std::size_t{0}) >= usableEndpoints;
    });
}

caller_reply process_fixture::chat(int entryPort, const std::string &tag, int length, const std::function<bool(const std::string &)> &onData)
{
    const nlohmann::json body{
        {"model", "m"}, {"stream", true}, {"max_tokens", length}, {"user", tag}, {"messages", {{{"role", "user"}, {"content", "hello " + tag}}}}};
    return callHttp("POST", urlOf(entryPort, chatPath), body.dump(), withApiKey(), onData);
}

std::string process_fixture::expectedChat(const std::string &tag, int length)
{
    std::string text;
    for (int i = 0; i < length; ++i) {
        text += tag + "." + std::to_string(i) + " ";
    }
    return text + "[DONE]";
}

std::string process_fixture::tokenTextOf(const std::string &stream)
{
    std::istringstream lines(stream);
    std::string text;
    const std::string field = "data: ";
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with(field)) {
            continue;
        }
        const auto event = nlohmann::json::parse(line.substr(field.size()), nullptr, false);
        text += event.is_object() && event.contains("choices") ? event["choices"][0]["delta"]["content"].get<std::string>() : line.substr(field.size());
    }
    return text;
}

caller_reply process_fixture::book(int entryPort, const std::string &operation, const std::string &key) const
{
    const header_list extraHeaders = key.empty() ? header_list{} : header_list{"Idempotency-Key: " + key};
    return callHttp("POST", urlOf(entryPort, "/services/booking/deposits"), nlohmann::json{{"operation", operation}}.dump(), withApiKey(extraHeaders));
}

int process_fixture::bookingCount(const std::string &operation) const
{
    return nlohmann::json::parse(fetch(bookingPort, "/counts")).value(operation, 0);
}

void process_fixture::sendControl(int port, const std::string &json)
{
    EXPECT_EQ(callHttp("POST", urlOf(port, "/control"), json).status, 200);
}

std::string process_fixture::fetch(int port, const std::string &path)
{
    return callHttp("GET", urlOf(port, path), "").body;
}

} // namespace wisteriashunt::testing
