#include "membership/record_decoders.h"

#include "wisteriashunt/errors.h"

#include <utility>

namespace wisteriashunt
{

// Records that cannot be decoded count as the oldest. The entry logs why when it applies them.

topic_rules declarationRules(const record_decoders &decoders)
{
    const auto versionOf = [decode = decoders.declarations](const keyed_record &record) {
        try {
            return decode(*record.value).version;
        } catch (const shunt_error &) {
            return std::int64_t{-1};
        }
    };
    return {.isOlder = [versionOf](const keyed_record &first, const keyed_record &second) { return versionOf(first) < versionOf(second); },
            .keepsLostRecords = true,
            .mayBeExecutedLate = true};
}

topic_rules endpointRules(const record_decoders &decoders)
{
    const auto stateOf = [decode = decoders.endpoint](const keyed_record &record) {
        try {
            const auto endpoint = decode(record.key, *record.value);
            return std::pair(endpoint.startedAtMilliseconds, endpoint.sequence);
        } catch (const shunt_error &) {
            return std::pair(std::int64_t{-1}, std::int64_t{-1});
        }
    };
    return {.isOlder = [stateOf](const keyed_record &first, const keyed_record &second) { return stateOf(first) < stateOf(second); }};
}

} // namespace wisteriashunt
