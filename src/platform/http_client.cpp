#include "platform/http_client.h"

#include "wisteriashunt/errors.h"

#include <curl/curl.h>

namespace wisteriashunt
{

struct http_client::curl_handle
{
    CURL *easy = curl_easy_init();
    // An empty "Expect" keeps libcurl from waiting for "100 Continue" before it sends a large body.
    curl_slist *headers = curl_slist_append(curl_slist_append(nullptr, "Content-Type: application/json"), "Expect:");

    curl_handle() = default;
    curl_handle(const curl_handle &) = delete;
    curl_handle &operator=(const curl_handle &) = delete;
    ~curl_handle()
    {
        curl_slist_free_all(headers);
        curl_easy_cleanup(easy);
    }
};

namespace
{

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

} // namespace

http_client::http_client()
    : m_handle(std::make_unique<curl_handle>())
{
}

http_client::~http_client() = default;

http_reply http_client::get(const std::string &url, duration timeout)
{
    return perform(url, nullptr, timeout);
}

http_reply http_client::post(const std::string &url, const std::string &body, duration timeout)
{
    return perform(url, &body, timeout);
}

http_reply http_client::perform(const std::string &url, const std::string *body, duration timeout)
{
    CURL *easy = m_handle->easy;
    http_reply reply;
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, m_handle->headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(toMilliseconds(timeout)));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &reply.body);
    if (body != nullptr) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body->data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(body->size()));
    }
    const CURLcode code = curl_easy_perform(easy);
    if (code != CURLE_OK) {
        throw shunt_error(error_kind::platform_unavailable, url + ": " + curl_easy_strerror(code));
    }
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    return reply;
}

} // namespace wisteriashunt
