#include "banyan/core/file_record.h"
#include "banyan/core/index_set.h"
#include "banyan/core/item_result.h"
#include "banyan/core/job_record.h"
#include "banyan/core/multipart_parser.h"
#include "banyan/core/part_splitter.h"
#include "banyan/core/record_error.h"
#include "banyan/core/row_key.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <set>

using namespace banyan;

namespace {

/// Splits @p text into pieces of random sizes.
std::vector<std::string> randomPieces(std::string text)
{
    std::vector<std::string> pieces;
    while (!text.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 40);
        pieces.push_back(text.substr(0, size));
        text.erase(0, size);
    }
    return pieces;
}

std::string randomText(const std::string &alphabet)
{
    return *rc::gen::container<std::string>(rc::gen::elementOf(alphabet));
}

struct form_field
{
    std::string name;
    std::string content;
};

std::vector<form_field> parseForm(const std::string &contentType, const std::vector<std::string> &pieces, bool &complete)
{
    multipart_parser parser(contentType);
    std::vector<form_field> fields;
    for (const std::string &piece : pieces) {
        for (const multipart_event &event : parser.add(piece)) {
            if (event.head) {
                fields.push_back({.name = event.text, .content = {}});
            } else {
                fields.back().content += event.text;
            }
        }
    }
    complete = parser.complete();
    return fields;
}

} // namespace

TEST_CASE("index_set is a set of numbers")
{
    rc::prop("behaves like std::set", [](const std::vector<std::pair<bool, std::uint8_t>> &changes) {
        index_set tested;
        std::set<std::uint32_t> naive;
        for (const auto &[added, number] : changes) {
            const std::uint32_t index = number % 32;
            RC_ASSERT((added ? tested.insert(index) == naive.insert(index).second : tested.erase(index) == (naive.erase(index) > 0)));
        }
        RC_ASSERT(tested.size() == naive.size());
        for (std::uint32_t index = 0; index < 34; ++index) {
            std::uint32_t absent = index;
            while (naive.contains(absent)) {
                ++absent;
            }
            RC_ASSERT(tested.contains(index) == naive.contains(index));
            RC_ASSERT(tested.firstAbsent(index) == absent);
        }
        RC_ASSERT(index_set::parse(tested.toString()) == tested);
    });
}

TEST_CASE("part_splitter keeps content and items however the input is split into pieces")
{
    rc::prop("parts depend on the content only", [] {
        const std::string content = randomText("ab\n\r ");
        const part_splitter_options options{.partBytes = 16, .maximumLineBytes = 4096};
        std::vector<std::string> parts;
        part_splitter splitter(options);
        for (const std::string &piece : randomPieces(content)) {
            for (const std::string &part : splitter.add(piece)) {
                parts.push_back(part);
            }
        }
        if (const auto last = splitter.finish()) {
            parts.push_back(*last);
        }
        part_splitter whole(options);
        std::vector<std::string> expected = whole.add(content);
        if (const auto last = whole.finish()) {
            expected.push_back(*last);
        }
        std::string joined;
        std::size_t items = 0;
        for (const std::string &part : parts) {
            joined += part;
            items += describePart(part).items;
        }
        RC_ASSERT(parts == expected);
        RC_ASSERT(joined == content);
        RC_ASSERT(items == itemLines(content).size());
    });
}

TEST_CASE("part_splitter rejects a line over the limit without buffering more of it")
{
    part_splitter splitter({.partBytes = 10, .maximumLineBytes = 20});
    CHECK(splitter.add(std::string(20, 'a')).empty());
    CHECK_THROWS_AS(splitter.add("a"), line_too_long);
}

TEST_CASE("multipart_parser finds the fields of a form however the input is split into pieces")
{
    rc::prop("all fields are found", [] {
        // The content consists of characters of the delimiter, so that partial matches occur.
        const std::string content = randomText("\r\n-xb");
        const std::string purpose = randomText("ab-\r");
        RC_PRE(content.find("\r\n--xbx") == std::string::npos && purpose.find("\r\n--xbx") == std::string::npos);
        const std::string body =
            "--xbx\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\n" + purpose
            + "\r\n--xbx\r\nContent-Disposition: form-data; name=\"file\"; filename=\"a.jsonl\"\r\nContent-Type: text/plain\r\n\r\n"
            + content + "\r\n--xbx--\r\n";
        bool complete = false;
        const auto fields = parseForm("multipart/form-data; boundary=xbx", randomPieces(body), complete);
        RC_ASSERT(complete);
        RC_ASSERT(fields.size() == 2U);
        RC_ASSERT(fields[0].name == "purpose");
        RC_ASSERT(fields[0].content == purpose);
        RC_ASSERT(fields[1].name == "file");
        RC_ASSERT(fields[1].content == content);
    });
}

TEST_CASE("multipart_parser rejects input that is not a form")
{
    CHECK_THROWS_AS(multipart_parser("application/json"), multipart_error);
    CHECK_THROWS_AS(multipart_parser("multipart/form-data"), multipart_error);
    multipart_parser parser("multipart/form-data; boundary=b");
    CHECK_THROWS_AS(parser.add(std::string(20000, 'x')), multipart_error);
}

TEST_CASE("job and file rows are parsed to the records that were written")
{
    rc::prop("job rows", [](const std::set<std::uint8_t> &done, std::uint32_t number, bool ended) {
        job_record record{.id = job_id("batch_1"), .caller = caller_id("a/b"), .inputFile = file_id("file-1")};
        record.itemsPerPart = {number % 7, 300};
        record.metadata = R"({"a":"b"})";
        record.createdAt = time_point(duration(number));
        record.fencingNumber = number;
        for (const std::uint8_t index : done) {
            record.done.insert(index);
        }
        record.segments.push_back({.fencingNumber = 3, .sequence = number, .outputBytes = 1, .errorBytes = 2});
        if (ended) {
            record.endedAt = time_point(duration(number) * 2);
        }
        RC_ASSERT(job_record::fromJson(record.toJson()) == record);
    });
    rc::prop("file rows", [](std::uint32_t bytes, std::uint32_t items, bool stored) {
        const file_record record{.id = file_id("file-1"),
                                 .caller = caller_id("c"),
                                 .fileName = "a \"b\".jsonl",
                                 .purpose = "batch",
                                 .state = stored ? file_state::Stored : file_state::Uploading,
                                 .contentHash = "00",
                                 .parts = {{.bytes = bytes, .items = items}, {.bytes = 1, .items = 1}}};
        RC_ASSERT(file_record::fromJson(record.toJson()) == record);
    });
    CHECK_THROWS_AS(job_record::fromJson("{}"), record_error);
    CHECK_THROWS_AS(file_record::fromJson("no JSON"), record_error);
}

TEST_CASE("the ids of a job's result files identify the job")
{
    const job_id job("batch_17");
    CHECK(parseResultFile(outputFileId(job)) == result_file{.job = job, .errors = false});
    CHECK(parseResultFile(errorFileId(job)) == result_file{.job = job, .errors = true});
    CHECK(parseResultFile(file_id("file-17")) == std::nullopt);
}

TEST_CASE("ids made later sort first")
{
    const time_point now{std::chrono::hours(5)};
    CHECK(newestFirstId("batch_", now + duration(1), 9) < newestFirstId("batch_", now, 1));
}

TEST_CASE("slashes in caller ids are escaped in row keys, which keeps callers apart")
{
    CHECK(fileKeyPrefix(caller_id("a/b")) == "file/a%2fb/");
}

TEST_CASE("result lines have the format of the batch API")
{
    CHECK(answerLine(job_id("batch_1"), 4, "c", {.status = 200, .requestId = "r", .body = R"({"x":1})"})
          == R"({"id":"batch_req_1_4","custom_id":"c","response":{"status_code":200,"request_id":"r","body":{"x":1}},"error":null})"
             "\n");
    CHECK(errorLine(job_id("batch_1"), 4, "", {.code = "batch_expired", .message = "m"})
          == R"({"id":"batch_req_1_4","custom_id":null,"response":null,"error":{"code":"batch_expired","message":"m"}})"
             "\n");
}
