/// Reading of members' states.
#include "group_state.hpp"

namespace bronzespar::load {

namespace {

constexpr duration StateTimeout = std::chrono::milliseconds(3000);

struct members_search {
  std::size_t Left = 0;
  members_state Found;
  members_handler Handler;
};

void takeState(members_search &Search, const load_target &Target,
               const http_answer &Answer) {
  constexpr unsigned Success = 200;
  auto State = readMemberState(Answer.Body);
  if (Answer.Status == Success && State)
    Search.Found.NestedBegins += State->NestedBegins;
  if (Answer.Status == Success && State && State->Role == "Primary") {
    primary_state &Best = Search.Found.Primaries[Target.Group.Value];
    if (Best.Target.Id.empty() || State->Term > Best.State.Term)
      Best = {Target, std::move(*State)};
  }
  if (--Search.Left == 0)
    Search.Handler(Search.Found);
}

} // namespace

void readMembers(driver &Driver, members_handler Handler) {
  auto Search = std::make_shared<members_search>();
  Search->Left = Driver.Run.Targets.size();
  Search->Handler = std::move(Handler);
  for (const load_target &Target : Driver.Run.Targets) {
    http_call Call;
    Call.Where = Target.Control;
    Call.Post = false;
    Call.Path = "/state";
    Call.Timeout = StateTimeout;
    Driver.Client.send(Call, [Search, &Target](const http_answer &Answer) {
      takeState(*Search, Target, Answer);
    });
  }
}

} // namespace bronzespar::load
