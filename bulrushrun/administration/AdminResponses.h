#pragma once

#include "bulrushrun/configuration/ConfigurationPublisher.h"
#include "bulrushrun/host/Http.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bulrushrun {

/// \brief \returns an answer in plain text.
HttpResponse textResponse(int aStatus, const std::string& aText);

/// \brief \returns an answer in JSON.
HttpResponse jsonResponse(int aStatus, const std::string& aJson);

/// \brief \returns `{"error":…,"detail":…}`.
HttpResponse errorResponse(int aStatus, const std::string& aError, const std::string& aDetail);

/// \brief \returns a configuration's text, with its version in a header.
HttpResponse configurationResponse(ConfigurationVersion aVersion, const std::string& aText);

/// \brief \returns the answer to a proposal.
HttpResponse publishResponse(const PublishResult& aResult);

/// \brief \returns the part of a path behind the question mark.
std::string queryOf(const std::string& aPath);

/// \brief \returns a parameter of a path's query, percent-decoding left out; empty when absent.
std::string queryText(const std::string& aPath, const std::string& aName);

/// \brief \returns a parameter as a number, or nothing.
std::optional<std::uint64_t> queryNumber(const std::string& aPath, const std::string& aName);

} // namespace bulrushrun
