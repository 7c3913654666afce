#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "standins/leaf/Journal.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace standins;

// Guards against a history check that misses the run of an answered request: the check reads the journal file while the
// stand-in leaves still run, so the line of the run must not remain in a buffer of their process.
TEST_CASE("the line of a part with a request key is in the journal file when write returns")
{
    const auto path = std::filesystem::temp_directory_path() / ("journal-" + std::to_string(::getpid()) + ".jsonl");
    Journal journal(path.string(), false);
    JournalLine line { "start", "", "latefees-0-a", "latefees" };
    line.operation = "charge";
    line.requestKey = "1700000000-1";
    journal.write(line);
    std::ifstream in(path);
    std::string text;
    std::getline(in, text);
    std::filesystem::remove(path);
    CHECK(text.find("\"key\":\"1700000000-1\"") != std::string::npos);
}
