#pragma once

#include "banyan/core/identifier.h"
#include "banyan/io/http_exchange.h"

#include <functional>

namespace banyan {

class file_service;
class http_server;
class job_service;

/// Finds the caller of a request by its key. @throws request_refused, which is answered
using caller_identification = std::function<caller_id(http_exchange &)>;

/// Adds the routes below /v1/files and /v1/batches to @p server, in the shape that an unmodified OpenAI client expects.
/// @p files and @p jobs have to live as long as the server. openai_error and request_refused are
/// answered here.
void addBatchRoutes(http_server &server, file_service &files, job_service &jobs, caller_identification identify);

} // namespace banyan
