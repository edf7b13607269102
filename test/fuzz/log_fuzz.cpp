// Fuzz target for the answers of the platform's log. The first byte selects newest records, records from an offset on, the epoch's header
// field, or a snapshot of another entry; the rest is its content.
#include "gateway/peer_records.h"
#include "platform/adapter.h"
#include "wisteriashunt/errors.h"

#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace wisteriashunt;
    static const auto dialect = platform::makeLogDialect();
    if (size == 0) {
        return 0;
    }
    const std::string content(reinterpret_cast<const char *>(data) + 1, size - 1);
    constexpr int kinds = 4;
    try {
        switch (data[0] % kinds) {
        case 0:
            static_cast<void>(dialect.readNewest(content));
            break;
        case 1:
            static_cast<void>(dialect.readRecords(content, 0));
            break;
        case 2:
            static_cast<void>(dialect.readEpoch({{"Store-Era", content}}));
            break;
        default:
            static_cast<void>(decodeSnapshot(content));
            break;
        }
    } catch (const shunt_error &) {
        // Bad input must be refused with a `shunt_error`; any other exception is a fault.
    }
    return 0;
}
