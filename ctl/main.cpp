#include "ctl/Commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.1.1:8081", "administration address of any instance");
ABSL_FLAG(std::string,
          token,
          "",
          "access token; defaults to the environment variable BULRUSHRUN_TOKEN");
ABSL_FLAG(std::string, author, "", "author of the change");
ABSL_FLAG(std::string, reason, "", "reason for the change");
ABSL_FLAG(std::string, change_id, "", "id of an earlier attempt of the same change");
ABSL_FLAG(std::int64_t, base, -1, "version on which the file is based");
ABSL_FLAG(std::int64_t, version, -1, "version to show or to roll back to");
ABSL_FLAG(std::string, tenant, "", "tenant to explain");
ABSL_FLAG(std::string, service, "", "service to explain");
ABSL_FLAG(std::string, output, "text", "text or json; json applies to trace and config history");
ABSL_FLAG(std::string, class, "", "class to explain; defaults to the first class");

int main(int aArgumentCount, char** aArguments)
{
  using namespace bulrushrun;
  absl::SetProgramUsageMessage(
    "operator tool for bulrushrun\n"
    "  bulrushctl config validate|diff|apply FILE, config show|history|rollback\n"
    "  bulrushctl exception list, exception add|remove target|zone NAME\n"
    "  bulrushctl settings validate FILE, status, explain, drain\n"
    "  bulrushctl trace REQUEST-ID LOG...: trace one request through the instances' logs\n"
    "exit codes: 0 success, 1 failure, 2 invalid input, 3 conflict with another change, 4 "
    "unresolved");
  const std::vector<char*> words = absl::ParseCommandLine(aArgumentCount, aArguments);
  std::signal(SIGPIPE, SIG_IGN);
  CommandOptions options;
  options.mAddress = absl::GetFlag(FLAGS_address);
  options.mToken = absl::GetFlag(FLAGS_token);
  const char* variable = std::getenv("BULRUSHRUN_TOKEN");
  if (options.mToken.empty() && variable != nullptr) {
    options.mToken = variable;
  }
  options.mAuthor = absl::GetFlag(FLAGS_author);
  options.mReason = absl::GetFlag(FLAGS_reason);
  options.mChangeId = absl::GetFlag(FLAGS_change_id);
  options.mBaseVersion = absl::GetFlag(FLAGS_base);
  options.mVersion = absl::GetFlag(FLAGS_version);
  options.mTenant = absl::GetFlag(FLAGS_tenant);
  options.mService = absl::GetFlag(FLAGS_service);
  options.mClass = absl::GetFlag(FLAGS_class);
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "text" && output != "json") {
    std::cerr << "--output must be text or json\n";
    return static_cast<int>(ExitCode::BadInput);
  }
  options.mJson = output == "json";
  if (!parseEndpoint(options.mAddress)) {
    std::cerr << "--address must be a.b.c.d:port\n";
    return static_cast<int>(ExitCode::BadInput);
  }
  return static_cast<int>(runCommand({ words.begin() + 1, words.end() }, options));
}
