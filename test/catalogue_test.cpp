// Tests that docs/EVENTS.md and docs/ERRORS.md agree with the code.
#include "evidence/decision.h"
#include "wisteriashunt/errors.h"

#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <set>
#include <sstream>

namespace wisteriashunt
{
namespace
{

std::string readPage(const std::string &name)
{
    std::ifstream stream(std::string(SHUNT_SOURCE_DIR) + "/docs/" + name);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

TEST(catalogue_test, DocumentsExactlyTheEventsOfTheCode)
{
    std::set<std::pair<int, std::string>> documented;
    const std::string page = readPage("EVENTS.md");
    const std::regex row(R"(\| (\d+) \| `(\w+)` \| (yes|no) \|)");
    for (std::sregex_iterator it(page.begin(), page.end(), row), end; it != end; ++it) {
        const int number = std::stoi((*it)[1]);
        documented.emplace(number, (*it)[2]);
        EXPECT_EQ(isEvidence(static_cast<event_number>(number)), (*it)[3] == "yes") << "event " << number;
    }
    std::set<std::pair<int, std::string>> defined;
    constexpr int largestNumber = 999;
    for (int number = 1; number <= largestNumber; ++number) {
        const auto name = toString(static_cast<event_number>(number));
        if (name != "unknown") {
            defined.emplace(number, name);
        }
    }
    EXPECT_EQ(documented, defined);
}

TEST(catalogue_test, DocumentsEveryErrorKindWithItsAnswer)
{
    const std::string page = readPage("ERRORS.md");
    for (const auto &answer : errorTable()) {
        const std::string row = "| `" + std::string(answer.name) + "` | " + std::to_string(answer.httpStatus) + " | "
            + (answer.runState == run_state::not_run ? "no" : "maybe") + " | " + (answer.retryLater ? "yes" : "no") + " |";
        EXPECT_NE(page.find(row), std::string::npos) << "missing: " << row;
    }
}

} // namespace
} // namespace wisteriashunt
