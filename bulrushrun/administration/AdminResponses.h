#pragma once

#include "bulrushrun/configuration/ConfigurationPublisher.h"
#include "bulrushrun/host/Http.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bulrushrun {

/// \brief \returns a plain text response.
HttpResponse textResponse(int aStatus, const std::string& aText);

/// \brief \returns a JSON response.
HttpResponse jsonResponse(int aStatus, const std::string& aJson);

/// \brief \returns a JSON response of the form `{"error":…,"detail":…}`.
HttpResponse errorResponse(int aStatus, const std::string& aError, const std::string& aDetail);

/// \brief \returns a response with a configuration's text, and its version in a header.
HttpResponse configurationResponse(ConfigurationVersion aVersion, const std::string& aText);

/// \brief \returns the response to a proposal.
HttpResponse publishResponse(const PublishResult& aResult);

/// \brief \returns the query of a path: the part after the question mark.
std::string queryOf(const std::string& aPath);

/// \brief \returns a parameter of a path's query, without percent-decoding; empty when missing.
std::string queryText(const std::string& aPath, const std::string& aName);

/// \brief \returns a parameter of a path's query as a number, or nothing.
std::optional<std::uint64_t> queryNumber(const std::string& aPath, const std::string& aName);

} // namespace bulrushrun
