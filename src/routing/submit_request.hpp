/// @file
/// Validation of a client's request.
#pragma once

#include <string_view>

#include "protocol/thrift.hpp"
#include "routing/request_context.hpp"
#include "routing/request_router.hpp"

namespace paddletrack::routing {

/// Fills `context` from a client's request, except for the statement, which shares the input buffer and is
/// set by the caller. `arrivedAt` is the time of arrival on the router's clock. Throws protocol::ParseError,
/// which names the first invalid field.
void fillRequestContext(RequestContext& context, const protocol::thrift::SubmitRequest& submission,
                        const RequestRouter& router, Duration arrivedAt);

}  // namespace paddletrack::routing
