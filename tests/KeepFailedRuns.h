// Keeps the files of a failed system test, which the next run of the same test would replace. Included once by a test
// program that uses Cluster.
#pragma once

#include "tests/ProcessHarness.h"

#include <chrono>
#include <doctest/doctest.h>
#include <iostream>

namespace citronplank::testing {

/// Renames the folder run-NAME of a failed test case to failed-NAME-SECONDS and prints its path and the failed checks.
/// Not thread safe.
class KeepFailedRuns : public doctest::IReporter {
public:
    explicit KeepFailedRuns(const doctest::ContextOptions& /*options*/) { }

    void test_case_start(const doctest::TestCaseData& it) override { m_name = it.m_name; }
    void test_case_end(const doctest::CurrentTestCaseStats& it) override
    {
        auto folder = Cluster::lastFolder();
        if (it.testCaseSuccess || folder.empty() || !std::filesystem::exists(folder))
            return;
        auto now = std::chrono::system_clock::now().time_since_epoch();
        auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
        auto name = folder.filename().string().substr(std::string("run-").size());
        auto kept = folder.parent_path() / ("failed-" + name + "-" + std::to_string(seconds));
        std::filesystem::rename(folder, kept);
        std::cout << "The files of the failed case \"" << m_name << "\" are kept in " << kept.string() << std::endl;
    }
    void report_query(const doctest::QueryData& /*data*/) override { }
    void test_run_start() override { }
    void test_run_end(const doctest::TestRunStats& /*stats*/) override { }
    void test_case_reenter(const doctest::TestCaseData& /*data*/) override { }
    void test_case_exception(const doctest::TestCaseException& /*exception*/) override { }
    void subcase_start(const doctest::SubcaseSignature& /*signature*/) override { }
    void subcase_end() override { }
    void log_assert(const doctest::AssertData& /*data*/) override { }
    void log_message(const doctest::MessageData& /*data*/) override { }
    void test_case_skipped(const doctest::TestCaseData& /*data*/) override { }

private:
    std::string m_name;
};

} // namespace citronplank::testing
