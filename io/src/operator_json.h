#pragma once

#include "banyan/core/audit_record.h"
#include "banyan/core/configuration.h"
#include "banyan/core/job_summary.h"
#include "banyan/core/patch_result.h"
#include "banyan/io/http_message.h"
#include "banyan/io/node_status.h"
#include "banyan/io/request_explanation.h"
#include "banyan/io/upstream_report.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string_view>
#include <vector>

namespace banyan {

// The JSON forms of the operators' interface. docs/API.md describes them.

[[nodiscard]] boost::json::object configurationJson(const configuration &value);
[[nodiscard]] boost::json::object servicesJson(const configuration &value);
[[nodiscard]] boost::json::object auditJson(const std::vector<audit_record> &records);
/// The version, or for a conflict what was missed and contested.
[[nodiscard]] boost::json::object patchResultJson(const patch_result &result);
[[nodiscard]] boost::json::object upstreamsJson(const std::vector<upstream_report> &upstreams);
[[nodiscard]] boost::json::object jobJson(const job_summary &job);
[[nodiscard]] boost::json::object jobsJson(const std::vector<job_summary> &jobs);
[[nodiscard]] boost::json::object statusJson(const node_status &status);
[[nodiscard]] boost::json::object explanationJson(const request_explanation &explanation);

/// A whole answer with a JSON body.
[[nodiscard]] http_response jsonAnswer(unsigned status, const boost::json::value &body);

/// An error answer in the form {"error": {"message", "type", "code", "param"}}.
[[nodiscard]] http_response errorAnswer(unsigned status, std::string_view code, std::string_view message);

} // namespace banyan
