#include "bulrushrun/forwarding/RequestParametersReader.h"

#include <algorithm>
#include <charconv>

namespace bulrushrun {

namespace {

constexpr std::size_t kMaxKeyBytes = 256;

std::string headerOr(const Headers& aHeaders, const char* aName)
{
  const std::string* value = findHeader(aHeaders, aName);
  return value == nullptr ? std::string{} : *value;
}

bool isPrintable(const std::string& aText)
{
  return std::all_of(
    aText.begin(), aText.end(), [](char aByte) { return aByte > 0x20 && aByte < 0x7f; });
}

} // namespace

std::nullopt_t RequestParametersReader::refuse(RefusalReason aReason, std::string aText)
{
  mRefusal = { Outcome::NotRun, aReason, std::move(aText) };
  return std::nullopt;
}

std::optional<Duration> RequestParametersReader::readDeadline(const Headers& aHeaders,
                                                              const RequestClass& aClass)
{
  const std::string* text = findHeader(aHeaders, headers::kDeadline);
  if (text == nullptr) {
    return aClass.mDeadline;
  }
  std::int64_t millis = 0;
  const char* end = text->data() + text->size();
  const std::from_chars_result parsed = std::from_chars(text->data(), end, millis);
  if (parsed.ec != std::errc{} || parsed.ptr != end || millis <= 0) {
    refuse(RefusalReason::BadRequest,
           std::string(headers::kDeadline) + " must be a positive number of milliseconds");
    return std::nullopt;
  }
  const std::int64_t maxMillis = toMillis(kMaxDeadline);
  return std::chrono::milliseconds(std::min(millis, maxMillis));
}

std::optional<RequestParameters> RequestParametersReader::read(const Headers& aHeaders)
{
  RequestParameters parameters;
  parameters.mService.mTenant = TenantName{ headerOr(aHeaders, headers::kTenant) };
  parameters.mService.mService = ServiceName{ headerOr(aHeaders, headers::kService) };
  if (mDocument.tenant(parameters.mService.mTenant) == nullptr) {
    return refuse(RefusalReason::UnknownTenant,
                  "no tenant '" + parameters.mService.mTenant.text() + "'");
  }
  const Service* service = mDocument.service(parameters.mService);
  if (service == nullptr) {
    return refuse(RefusalReason::UnknownService,
                  "no service '" + parameters.mService.mService.text() + "'");
  }
  const ClassName className{ headerOr(aHeaders, headers::kClass) };
  const RequestClass* requestClass = service->requestClass(className);
  if (requestClass == nullptr) {
    return refuse(RefusalReason::UnknownClass, "no class '" + className.text() + "'");
  }
  parameters.mClass = *requestClass;
  const std::optional<Duration> deadline = readDeadline(aHeaders, *requestClass);
  if (!deadline) {
    return std::nullopt;
  }
  parameters.mDeadline = *deadline;
  parameters.mKey = IdempotencyKey{ headerOr(aHeaders, headers::kKey) };
  parameters.mRelay = InstanceId{ headerOr(aHeaders, headers::kRelay) };
  parameters.mCallerZone = ZoneName{ headerOr(aHeaders, headers::kCallerZone) };
  if (!parameters.mCallerZone.empty() && mDocument.regionOf(parameters.mCallerZone) == nullptr) {
    return refuse(RefusalReason::BadRequest,
                  "unknown zone '" + parameters.mCallerZone.text() + "'");
  }
  if (!requestClass->mRepeatable && parameters.mKey.empty()) {
    return refuse(RefusalReason::KeyMissing,
                  "class '" + requestClass->mName.text() + "' requires an Idempotency-Key header");
  }
  if (parameters.mKey.text().size() > kMaxKeyBytes || !isPrintable(parameters.mKey.text())) {
    return refuse(RefusalReason::BadRequest,
                  "Idempotency-Key must be 1 to 256 printable characters");
  }
  return parameters;
}

std::string requestFingerprint(const HttpRequest& aRequest)
{
  std::string text = aRequest.mMethod + " " + aRequest.mPath + "\n";
  text += aRequest.mBody.view();
  return sha256Hex(text);
}

} // namespace bulrushrun
