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
           std::string(headers::kDeadline) + " must be a positive number");
    return std::nullopt;
  }
  const std::int64_t longest = toMillis(kMaxDeadline);
  return std::chrono::milliseconds(std::min(millis, longest));
}

std::optional<RequestParameters> RequestParametersReader::read(const Headers& aHeaders)
{
  RequestParameters call;
  call.mService.mTenant = TenantName{ headerOr(aHeaders, headers::kTenant) };
  call.mService.mService = ServiceName{ headerOr(aHeaders, headers::kService) };
  if (mDocument.tenant(call.mService.mTenant) == nullptr) {
    return refuse(RefusalReason::UnknownTenant, "tenant '" + call.mService.mTenant.text() + "'");
  }
  const Service* service = mDocument.service(call.mService);
  if (service == nullptr) {
    return refuse(RefusalReason::UnknownService, "service '" + call.mService.mService.text() + "'");
  }
  const ClassName className{ headerOr(aHeaders, headers::kClass) };
  const RequestClass* requestClass = service->requestClass(className);
  if (requestClass == nullptr) {
    return refuse(RefusalReason::UnknownClass, "class '" + className.text() + "'");
  }
  call.mClass = *requestClass;
  const std::optional<Duration> deadline = readDeadline(aHeaders, *requestClass);
  if (!deadline) {
    return std::nullopt;
  }
  call.mDeadline = *deadline;
  call.mKey = IdempotencyKey{ headerOr(aHeaders, headers::kKey) };
  call.mRelay = InstanceId{ headerOr(aHeaders, headers::kRelay) };
  call.mCallerZone = ZoneName{ headerOr(aHeaders, headers::kCallerZone) };
  if (!call.mCallerZone.empty() && mDocument.regionOf(call.mCallerZone) == nullptr) {
    return refuse(RefusalReason::BadRequest, "unknown zone '" + call.mCallerZone.text() + "'");
  }
  if (!requestClass->mRepeatable && call.mKey.empty()) {
    return refuse(RefusalReason::KeyMissing,
                  "class '" + requestClass->mName.text() + "' needs an Idempotency-Key");
  }
  if (call.mKey.text().size() > kMaxKeyBytes || !isPrintable(call.mKey.text())) {
    return refuse(RefusalReason::BadRequest,
                  "Idempotency-Key must be 1 to 256 printable characters");
  }
  return call;
}

std::string requestFingerprint(const HttpRequest& aRequest)
{
  return sha256Hex(aRequest.mMethod + " " + aRequest.mPath + "\n" + aRequest.mBody);
}

} // namespace bulrushrun
