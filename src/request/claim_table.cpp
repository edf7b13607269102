#include "request/claim_table.h"

#include <nlohmann/json.hpp>

namespace wisteriashunt
{

namespace
{

using nlohmann::json;

json keyFields(const char *type, const claim_key &key)
{
    return json{{"type", type}, {"workspace", key.workspaceName}, {"key", key.key}};
}

claim parseClaim(const json &record, const claim_key &key)
{
    return {.key = key,
            .fingerprint = record.at("fingerprint").get<std::uint64_t>(),
            .attempt = {.request = {.entry = record.at("entry").get<std::uint64_t>(), .sequence = record.at("sequence").get<std::uint64_t>()},
                        .attempt = record.at("attempt").get<std::uint32_t>()},
            .endpointName = record.at("endpoint").get<std::string>(),
            .endpointIncarnation = record.at("incarnation").get<std::uint64_t>()};
}

/// A body need not be valid UTF-8, so it is stored as JSON binary, which is written as {"bytes": [...], "subtype": null}.
json encodeBody(const std::string &body)
{
    return json::binary(std::vector<std::uint8_t>(body.begin(), body.end()));
}

std::string decodeBody(const json &value)
{
    const auto bytes = value.at("bytes").get<std::vector<std::uint8_t>>();
    return {bytes.begin(), bytes.end()};
}

} // namespace

std::string makeClaimRecord(const claim &value)
{
    json record = keyFields("claim", value.key);
    record["fingerprint"] = value.fingerprint;
    record["entry"] = value.attempt.request.entry;
    record["sequence"] = value.attempt.request.sequence;
    record["attempt"] = value.attempt.attempt;
    record["endpoint"] = value.endpointName;
    record["incarnation"] = value.endpointIncarnation;
    return record.dump();
}

std::string makeOutcomeRecord(const claim_key &key, log_offset offset, const claim_outcome &outcome)
{
    json record = keyFields("outcome", key);
    record["claim"] = offset;
    record["status"] = outcome.httpStatus;
    record["content_type"] = outcome.contentType;
    record["body"] = encodeBody(outcome.body);
    return record.dump();
}

std::string makeVoidRecord(const claim_key &key, log_offset offset)
{
    json record = keyFields("void", key);
    record["claim"] = offset;
    return record.dump();
}

std::optional<claim> claim_table::apply(const log_record &record)
{
    if (record.offset <= m_offset) {
        return std::nullopt;
    }
    m_offset = record.offset;
    try {
        const json parsed = json::parse(record.data);
        const claim_key key{.workspaceName = parsed.at("workspace").get<std::string>(), .key = parsed.at("key").get<std::string>()};
        const auto type = parsed.at("type").get<std::string>();
        const auto held = m_held.find(key);
        if (type == "claim") {
            const claim recordedClaim = parseClaim(parsed, key);
            m_held.try_emplace(key, held_claim{.value = recordedClaim, .offset = record.offset, .outcome = std::nullopt});
            return recordedClaim;
        }
        const bool isCurrent = held != m_held.end() && held->second.offset == parsed.at("claim").get<log_offset>() && !held->second.outcome;
        if (type == "void" && isCurrent) {
            m_held.erase(held);
        } else if (type == "outcome" && isCurrent) {
            held->second.outcome = claim_outcome{.httpStatus = parsed.at("status").get<int>(),
                                                 .contentType = parsed.at("content_type").get<std::string>(),
                                                 .body = decodeBody(parsed.at("body"))};
        }
    } catch (const json::exception &) {
        // Every reader skips a malformed record, so all readers still agree on the winners.
    }
    return std::nullopt;
}

void claim_table::eraseBefore(log_offset firstRetained)
{
    std::erase_if(m_held, [&](const auto &item) { return item.second.offset < firstRetained; });
}

const held_claim *claim_table::find(const claim_key &key) const
{
    const auto found = m_held.find(key);
    return found == m_held.end() ? nullptr : &found->second;
}

log_offset claim_table::offset() const
{
    return m_offset;
}

std::size_t claim_table::size() const
{
    return m_held.size();
}

} // namespace wisteriashunt
