#include "gateway/refusal.h"

namespace wisteriashunt
{

refusal makeRefusal(const wire_dialect &dialect, error_kind kind, duration retryAfter)
{
    const auto &answer = answerFor(kind);
    refusal made;
    appendResponseHead(made.head, answer.httpStatus, reasonPhrase(answer.httpStatus), {{"Content-Type", "application/json"}});
    if (answer.retryLater && answer.runState == run_state::not_run) {
        dialect.writeRetryAfter(made.head, retryAfter);
    }
    made.body = "{\"error\":{\"type\":\"" + std::string(answer.name) + "\",\"ran\":\"" + (answer.runState == run_state::not_run ? "no" : "maybe") + "\"}}";
    return made;
}

} // namespace wisteriashunt
