#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "standins/leaf/Journal.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace standins;

// Guards against a history check that misses the run of a request whose answer has already arrived: the check reads the
// journal while the stand-in leaves still run.
TEST_CASE("the line of a keyed part is in the journal file as soon as it is written")
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
