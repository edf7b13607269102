// Fuzz target for the routing of callers' requests. The first byte selects the chat path or a service path; the rest is the body and, for a
// service, also the end of the path.
#include "configuration/sha256.h"
#include "request/router.h"
#include "wisteriashunt/errors.h"

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace wisteriashunt;
    static const configuration_state state = [] {
        configuration_state configuration;
        configuration.offset = 1;
        configuration.classes["c"].value = {.name = "c", .endpoints = {"e"}, .nonIdempotent = {"POST /d"}, .models = {"m"}, .services = {"s"}};
        configuration.workspaces["w"].value = {.name = "w", .keyHashes = {sha256Hex("k")}};
        return configuration;
    }();
    if (size == 0) {
        return 0;
    }
    const std::string body(reinterpret_cast<const char *>(data) + 1, size - 1);
    http_request request{.method = "POST", .path = chatPath, .headers = {{"authorization", "Bearer k"}}, .body = body};
    if (data[0] % 2 == 1) {
        request.path = servicePrefix + body;
    }
    try {
        static_cast<void>(routeRequest(state, request));
    } catch (const shunt_error &) {
        // Bad input must be refused with a `shunt_error`; any other exception is a fault.
    }
    return 0;
}
