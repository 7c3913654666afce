#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "rules/RulesWatcher.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace citronplank;

namespace {

const RuleLine savOut { "zone sav", "out", "mae: switch" };
const RuleLine augOut { "zone aug", "out", "lee: power" };
const std::vector<RuleLine> both { savOut, augOut };

/// One rules file in its own folder, with versions 5 (no rule), 6 (sav) and 7 (sav, aug), and simulated time.
struct WatcherFixture {
    std::filesystem::path folder
        = std::filesystem::temp_directory_path() / ("citronplank-rules-" + std::to_string(::getpid()));
    std::string path = (folder / "site.rules").string();
    std::map<std::uint64_t, std::vector<RuleLine>> versions { { 0, {} }, { 5, {} }, { 6, { savOut } }, { 7, both } };
    TimePoint now { seconds(100) };
    RulesWatcher watcher { path, "atl-1", [this](std::uint64_t version) -> std::optional<std::vector<RuleLine>> {
                              const auto it = versions.find(version);
                              return it == versions.end() ? std::nullopt : std::optional(it->second);
                          } };

    WatcherFixture()
    {
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
    }
    ~WatcherFixture() { std::filesystem::remove_all(folder); }

    void save(const std::string& text) const { std::ofstream(path, std::ios::binary) << text; }
    static std::string read(const std::string& name)
    {
        std::ifstream in(name, std::ios::binary);
        std::ostringstream out;
        out << in.rdbuf();
        return out.str();
    }
    std::string text() const { return read(path); }
    std::string status() const { return read(watcher.statusPath()); }
    bool statusHas(const std::string& part) const { return status().find(part) != std::string::npos; }

    RulesPollResult pollFor(milliseconds time)
    {
        for (const auto end = now + time; now < end; now += rulesPollInterval)
            if (auto result = watcher.poll(now); result.submission || result.error)
                return result;
        return {};
    }
    RulesPollResult settle() { return pollFor(seconds(1)); }
    bool isQuiet(milliseconds time = seconds(1))
    {
        const auto result = pollFor(time);
        return !result.submission && !result.error;
    }
};

const std::string savEdit = "# citronplank version 5\n# note\nzone sav out # mae: switch\n";

} // namespace

// Guards against an edit that is submitted twice, or whose file keeps the old header when the edit is in force.
TEST_CASE_FIXTURE(WatcherFixture, "an edit is submitted once and the file is updated with the header and others' lines")
{
    save(savEdit);
    const auto result = settle();
    REQUIRE(result.submission);
    CHECK(result.submission->baseVersion == 5);
    CHECK(result.submission->changes == std::vector { RuleChange { "zone sav", savOut } });
    CHECK(isQuiet());
    watcher.onAccepted(result.submission->submissionId, 7, both);
    CHECK(text() == "# citronplank version 7\n# note\nzone sav out # mae: switch\nzone aug out  # lee: power\n");
    CHECK(statusHas("outcome: accepted"));
    CHECK(isQuiet(seconds(10)));
    CHECK(std::distance(std::filesystem::directory_iterator(folder), {}) == 2);
}

// Guards against losing an operator's edit that was saved while the previous one was being decided.
TEST_CASE_FIXTURE(WatcherFixture, "a file edited during the submission is not overwritten")
{
    save(savEdit);
    const auto first = settle();
    REQUIRE(first.submission);
    const auto edited = savEdit + "zone aug out # lee: power\n";
    save(edited);
    CHECK(isQuiet());
    watcher.onAccepted(first.submission->submissionId, 6, std::vector { savOut });
    CHECK(text() == edited);
    CHECK(statusHas("edited meanwhile"));
    const auto second = settle();
    REQUIRE(second.submission);
    CHECK(second.submission->submissionId != first.submission->submissionId);
    CHECK(second.submission->changes.size() == 2);
}

// Guards against a save in progress that is taken for the removal of the lines not written yet.
TEST_CASE_FIXTURE(
    WatcherFixture, "incomplete, empty, deleted and headerless files change nothing and are reported once")
{
    watcher.onInForce(7, both);
    for (const std::string bad : { "", " \n\n", "# citronplank version 7\nzone sav out # mae: swi",
             "zone sav out # mae: switch\n", "# citronplank version 7\n" }) {
        CAPTURE(bad);
        save(bad);
        CHECK(isQuiet(rulesSettleTime));
        const auto result = settle();
        CHECK(result.error);
        CHECK(!result.submission);
        CHECK(statusHas("outcome: error"));
        CHECK(isQuiet(seconds(5)));
        CHECK(text() == bad);
    }
    std::filesystem::remove(path);
    const auto result = settle();
    REQUIRE(result.error);
    CHECK(isQuiet(rulesRestoreDelay + seconds(1)));
    CHECK(text() == renderRules(both, 7));
    CHECK(isQuiet());
}

// Guards against processing a file while its content still changes between polls.
TEST_CASE_FIXTURE(WatcherFixture, "a file that keeps changing is not processed until it is stable")
{
    for (int i = 0; i < 10; ++i) {
        save(savEdit + std::string(static_cast<std::size_t>(i), '\n'));
        CHECK(isQuiet(rulesPollInterval));
    }
    CHECK(settle().submission);
}

// Guards against an old copy of the file that reverts later edits.
TEST_CASE_FIXTURE(WatcherFixture, "an old copy of the file changes no rule and is updated")
{
    save("# citronplank version 6\nzone sav out # mae: switch\n");
    watcher.onInForce(7, both);
    CHECK(isQuiet());
    CHECK(text() == "# citronplank version 7\nzone sav out # mae: switch\nzone aug out  # lee: power\n");
    save("# citronplank version 5\n");
    CHECK(isQuiet());
    CHECK(text() == renderRules(both, 7));
    CHECK(statusHas("no difference to version 5"));
}

// Guards against an edit that is lost while there is no majority, and against a repeated submission with another id.
TEST_CASE_FIXTURE(WatcherFixture, "a pending edit stays in the file and is submitted again with the same id")
{
    save(savEdit);
    const auto first = settle();
    REQUIRE(first.submission);
    watcher.onPending(first.submission->submissionId, "no majority", now);
    CHECK(statusHas("outcome: pending: no majority"));
    const auto second = pollFor(seconds(2));
    REQUIRE(second.submission);
    CHECK(second.submission->submissionId == first.submission->submissionId);
    CHECK(isQuiet(rulesSubmissionTimeout - seconds(1)));
    CHECK(pollFor(seconds(2)).submission);
    watcher.onRefused(first.submission->submissionId, "conflict: zone sav was changed in version 6 by lee");
    CHECK(statusHas("outcome: refused"));
    CHECK(text() == savEdit);
    CHECK(isQuiet(seconds(10)));
    watcher.onInForce(7, both);
    CHECK(text() == savEdit);
}

// Guards against an instance that drops an edit because it receives the base version only later.
TEST_CASE_FIXTURE(WatcherFixture, "an unknown base version is reported and tried again")
{
    save("# citronplank version 9\n");
    CHECK(settle().error);
    CHECK(isQuiet(seconds(3)));
    versions[9] = { savOut };
    const auto result = pollFor(seconds(2));
    REQUIRE(result.submission);
    CHECK(result.submission->changes == std::vector { RuleChange { "zone sav", std::nullopt } });
}

// Guards against replacing a symbolic link, for example to a shared folder, by a regular file.
TEST_CASE_FIXTURE(WatcherFixture, "a symbolic link and the permissions of the file are kept")
{
    const auto target = folder / "target.rules";
    std::ofstream(target) << savEdit;
    std::filesystem::permissions(target, std::filesystem::perms(0600));
    std::filesystem::create_symlink(target, path);
    const auto result = settle();
    REQUIRE(result.submission);
    watcher.onAccepted(result.submission->submissionId, 6, std::vector { savOut });
    CHECK(std::filesystem::is_symlink(path));
    CHECK(read(target.string()).starts_with("# citronplank version 6\n"));
    CHECK(std::filesystem::status(target).permissions() == std::filesystem::perms(0600));
}
