#include "daemon/upstream_client.h"

#include "daemon/sse_splitter.h"

#include <curl/curl.h>

namespace wisteriashunt
{

namespace
{

constexpr int pollTimeoutMs = 100;
constexpr int okStatus = 200;
constexpr const char *eventStreamType = "text/event-stream";

} // namespace

struct upstream_client::transfer
{
    struct start request;
    upstream_client *owner = nullptr;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    std::string url;
    std::string body;
    sse_splitter splitter;
    bool isDone = false;
    bool hasWrongId = false;
    bool isTooLarge = false;

    transfer(const struct start &started, const std::string &expectedId)
        : request(started)
        , splitter(expectedId)
    {
    }
    transfer(const transfer &) = delete;
    transfer &operator=(const transfer &) = delete;
    ~transfer()
    {
        curl_slist_free_all(headers);
        if (easy != nullptr) {
            curl_easy_cleanup(easy);
        }
    }

    [[nodiscard]] int status() const
    {
        long code = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &code);
        return static_cast<int>(code);
    }

    [[nodiscard]] std::string contentType() const
    {
        const char *type = nullptr;
        curl_easy_getinfo(easy, CURLINFO_CONTENT_TYPE, &type);
        return type == nullptr ? "application/octet-stream" : type;
    }

    [[nodiscard]] bool isEventStream() const
    {
        return request.streaming && status() == okStatus && contentType().starts_with(eventStreamType);
    }

    static std::size_t onData(char *data, std::size_t size, std::size_t count, void *context)
    {
        auto *self = static_cast<transfer *>(context);
        const std::string_view bytes(data, size * count);
        if (!self->isEventStream()) {
            self->body.append(bytes);
            self->isTooLarge = self->body.size() > self->owner->m_options.maxAnswerBytes;
            return self->isTooLarge ? 0 : bytes.size();
        }
        sse_batch batch = self->splitter.feed(bytes);
        if (batch.hasWrongId) {
            self->hasWrongId = true;
            return 0;
        }
        self->isTooLarge = self->splitter.partialBytes() > self->owner->m_options.maxAnswerBytes;
        if (self->isTooLarge) {
            return 0;
        }
        self->isDone = self->isDone || batch.isDone;
        if (batch.events > 0) {
            self->owner->m_options.deliver(upstream_chunk{.id = self->request.id, .events = batch.events, .data = std::move(batch.data)});
        }
        return bytes.size();
    }
};

upstream_client::upstream_client(const upstream_client_options &options)
    : m_options(options)
    , m_requireEchoedId(options.requireEchoedId)
    , m_commands(options.ringCapacity)
    , m_multi(curl_multi_init())
    , m_thread([this] { run(); })
{
}

upstream_client::~upstream_client()
{
    m_isStopping = true;
    m_commands.close();
    curl_multi_wakeup(m_multi);
    m_thread.join();
    for (const auto &[id, active] : m_transfers) {
        curl_multi_remove_handle(m_multi, active->easy);
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
}

void upstream_client::start(const struct start &request)
{
    m_commands.push({.isCancel = false, .id = request.id, .request = request});
    curl_multi_wakeup(m_multi);
}

void upstream_client::cancel(const attempt_id &id)
{
    m_commands.push({.isCancel = true, .id = id, .request = {}});
    curl_multi_wakeup(m_multi);
}

void upstream_client::requireEchoedId(bool required)
{
    m_requireEchoedId = required;
}

void upstream_client::run()
{
    while (!m_isStopping) {
        takeCommands();
        int running = 0;
        curl_multi_perform(m_multi, &running);
        int remaining = 0;
        while (const CURLMsg *done = curl_multi_info_read(m_multi, &remaining)) {
            if (done->msg == CURLMSG_DONE) {
                finish(done->easy_handle, done->data.result);
            }
        }
        curl_multi_poll(m_multi, nullptr, 0, pollTimeoutMs, nullptr);
    }
}

void upstream_client::takeCommands()
{
    for (auto &item : m_commands.popAll(duration::zero())) {
        if (item.isCancel) {
            erase(item.id);
        } else {
            begin(item.request);
        }
    }
}

void upstream_client::begin(const struct start &request)
{
    const std::string requestId = toString(request.id.request);
    auto newTransfer = std::make_unique<transfer>(request, m_requireEchoedId ? "chatcmpl-" + requestId : "");
    newTransfer->owner = this;
    newTransfer->url = m_options.baseUrl + request.path;
    newTransfer->easy = curl_easy_init();
    newTransfer->headers = curl_slist_append(newTransfer->headers, ("Content-Type: " + request.contentType).c_str());
    newTransfer->headers = curl_slist_append(newTransfer->headers, ("X-Request-Id: " + requestId).c_str());
    newTransfer->headers = curl_slist_append(newTransfer->headers, "Expect:");
    if (request.resumeFrom > 0) {
        newTransfer->headers = curl_slist_append(newTransfer->headers, ("X-Resume-From: " + std::to_string(request.resumeFrom)).c_str());
    }
    CURL *easy = newTransfer->easy;
    curl_easy_setopt(easy, CURLOPT_URL, newTransfer->url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, newTransfer->headers);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.method != "GET" && request.method != "HEAD") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, newTransfer->request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(newTransfer->request.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(toMilliseconds(m_options.connectTimeout)));
    if (!request.streaming) {
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(toMilliseconds(m_options.completeAnswerTimeout)));
    }
    if (!request.idempotent) {
        // On a reused connection that turns out to be closed, libcurl would silently send the request again.
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &transfer::onData);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, newTransfer.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, newTransfer.get());
    curl_multi_add_handle(m_multi, easy);
    m_transfers[request.id] = std::move(newTransfer);
}

void upstream_client::finish(void *easy, int code)
{
    transfer *done = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &done);
    const attempt_id id = done->request.id;
    const auto result = static_cast<CURLcode>(code);
    if (result == CURLE_COULDNT_CONNECT || result == CURLE_COULDNT_RESOLVE_HOST) {
        m_options.deliver(upstream_failed{.id = id, .mayHaveBeenSent = false, .detail = curl_easy_strerror(result)});
    } else if (done->hasWrongId) {
        m_options.deliver(upstream_failed{.id = id, .mayHaveBeenSent = true, .detail = "the back end sent an event that does not carry the ID of its request"});
    } else if (result != CURLE_OK && !(done->isEventStream() && done->isDone)) {
        m_options.deliver(upstream_failed{.id = id,
                                          .mayHaveBeenSent = true,
                                          .detail = done->isTooLarge ? "the answer exceeds " + std::to_string(m_options.maxAnswerBytes) + " bytes"
                                                                     : curl_easy_strerror(result)});
    } else if (done->isEventStream() && !done->isDone) {
        m_options.deliver(upstream_failed{.id = id, .mayHaveBeenSent = true, .detail = "the stream ended without its closing [DONE] event"});
    } else {
        m_options.deliver(upstream_finished{
            finished{.id = id, .httpStatus = done->status(), .contentType = done->contentType(), .body = std::move(done->body), .events = 0}});
    }
    erase(id);
}

void upstream_client::erase(const attempt_id &id)
{
    const auto found = m_transfers.find(id);
    if (found != m_transfers.end()) {
        curl_multi_remove_handle(m_multi, found->second->easy);
        m_transfers.erase(found);
    }
}

} // namespace wisteriashunt
