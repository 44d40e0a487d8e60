/// Stand-in for one member of a database group.
#include "member.hpp"

#include "standin/program.hpp"

namespace bronzespar::standin {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

namespace {

constexpr std::uint32_t MostMilliseconds = 3'600'000;

program_description describeProgram() {
  program_description Program;
  Program.Name = "bronzespar-standin-target";
  Program.Purpose =
      "One member of a database group: log, replication, slots, connections.\n"
      "A connection that goes silent by a fault no longer counts against the\n"
      "limit; its transaction is rolled back. A leaving member refuses new\n"
      "statements after 5 s.\n";
  auto Add = Program.Options.add_options();
  const auto Text = [] { return options::value<std::string>(); };
  const auto Number = [](std::uint32_t Default) {
    return options::value<std::uint32_t>()->default_value(Default);
  };
  Add("settings", Text()->required(), "fleet settings (INI)");
  Add("target", Text()->required(), "this member's id");
  Add("primary", Text()->required(), "id of the primary of term 1");
  Add("control", Text()->required(), "IP:PORT of the control port");
  Add("addresses", Text(), "file with the section [addresses]");
  Add("lag-ms", Number(20), "time until a replica shows an entry");
  Add("statement-ms", Number(1), "time of each statement, within a tenth");
  Add("connect-ms", Number(12), "time until a new connection is served");
  Add("seed", options::value<std::uint64_t>()->default_value(1),
      "seed of the statements' times");
  return Program;
}

leaf::result<std::chrono::milliseconds>
readMilliseconds(const options::variables_map &Arguments,
                 const std::string &Name) {
  const auto Number = Arguments[Name].as<std::uint32_t>();
  if (Number > MostMilliseconds)
    return leaf::new_error(standin_fault{"--" + Name + ": at most " +
                                         std::to_string(MostMilliseconds) +
                                         " milliseconds"});
  return std::chrono::milliseconds(Number);
}

leaf::result<member_costs> readCosts(const options::variables_map &Arguments) {
  member_costs Costs;
  BOOST_LEAF_ASSIGN(Costs.Lag, readMilliseconds(Arguments, "lag-ms"));
  BOOST_LEAF_ASSIGN(Costs.Statement,
                    readMilliseconds(Arguments, "statement-ms"));
  BOOST_LEAF_ASSIGN(Costs.Connect, readMilliseconds(Arguments, "connect-ms"));
  return Costs;
}

leaf::result<group_plan> readPlan(const options::variables_map &Arguments) {
  const auto &File = Arguments["settings"].as<std::string>();
  BOOST_LEAF_AUTO(Text, readFile(File));
  BOOST_LEAF_AUTO(
      Plan, parseGroupPlan(Text, File, Arguments["target"].as<std::string>()));
  const auto &Primary = Arguments["primary"].as<std::string>();
  if (!findMember(Plan, Primary))
    return leaf::new_error(standin_fault{"--primary: group '" +
                                         Plan.Self.Group.Value +
                                         "' has no member '" + Primary + "'"});
  if (Arguments.count("addresses") == 0)
    return Plan;
  const auto &AddressFile = Arguments["addresses"].as<std::string>();
  BOOST_LEAF_AUTO(AddressText, readFile(AddressFile));
  BOOST_LEAF_ASSIGN(Plan.Addresses, parseAddresses(AddressText, AddressFile));
  return Plan;
}

void stop(member &Member) {
  Member.Waiting.clear();
  Member.Reports.clear();
  Member.Pulls.clear();
  for (const http_server_ptr &Server : {Member.Statements, Member.Maintenance,
                                        Member.Replication, Member.Control})
    stopServer(*Server);
}

leaf::result<stop_action> start(boost::asio::io_context &Context,
                                const options::variables_map &Arguments) {
  BOOST_LEAF_AUTO(Control, readEndpoint(Arguments, "control"));
  BOOST_LEAF_AUTO(Costs, readCosts(Arguments));
  BOOST_LEAF_AUTO(Plan, readPlan(Arguments));
  const auto Member = std::make_shared<member>(
      Context, Plan,
      makeMemberLog(Plan.Self.Id.Value, Arguments["primary"].as<std::string>()),
      Costs, Arguments["seed"].as<std::uint64_t>());
  Member->Link.ApplyTimer =
      std::make_unique<boost::asio::steady_timer>(Context);
  Member->Link.RetryTimer =
      std::make_unique<boost::asio::steady_timer>(Context);
  startStatements(Member);
  startMaintenance(Member);
  startReplication(Member);
  startControl(Member, Control);
  restartPulling(Member);
  return stop_action([Member] { stop(*Member); });
}

} // namespace

void stateChanged(const member_ptr &Member) {
  refuseWrongTerms(Member);
  answerReports(Member);
  answerPulls(Member);
}

} // namespace bronzespar::standin

int main(int ArgumentCount, char **Arguments) {
  bronzespar::standin::program_description Program =
      bronzespar::standin::describeProgram();
  Program.Start = bronzespar::standin::start;
  return bronzespar::standin::runProgram(ArgumentCount, Arguments, Program);
}
