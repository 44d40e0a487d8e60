/// Stand-in for the platform: key-value service and lagging host list.
#include "platform.hpp"

#include "standin/program.hpp"

#include <boost/leaf/on_error.hpp>

namespace bronzespar::standin {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

namespace {

constexpr std::uint32_t MostMilliseconds = 3'600'000;

program_description describeProgram() {
  program_description Program;
  Program.Name = "bronzespar-standin-platform";
  Program.Purpose = "Key-value service with compare-and-swap, leases and "
                    "watches (JSON of the\netcd v3 API), and the lagging list "
                    "of hosts.\n";
  auto Add = Program.Options.add_options();
  const auto Text = [] { return options::value<std::string>(); };
  const auto Number = [](std::uint32_t Default) {
    return options::value<std::uint32_t>()->default_value(Default);
  };
  Add("listen", Text()->required(), "IP:PORT of the API");
  Add("control", Text()->required(), "IP:PORT of the control port");
  Add("hosts", Text()->required(), "first list of hosts (JSON)");
  Add("list-lag-ms", Number(2000), "time until a new list is seen");
  Add("latency-ms", Number(2), "time of each call");
  return Program;
}

leaf::result<duration> readMilliseconds(const options::variables_map &Arguments,
                                        const std::string &Name) {
  const auto Number = Arguments[Name].as<std::uint32_t>();
  if (Number > MostMilliseconds)
    return leaf::new_error(standin_fault{"--" + Name + ": at most " +
                                         std::to_string(MostMilliseconds) +
                                         " milliseconds"});
  return duration(std::chrono::milliseconds(Number));
}

leaf::result<std::string> readHosts(const std::string &File) {
  BOOST_LEAF_AUTO(Text, readFile(File));
  const auto Named = leaf::on_error([&File](standin_fault &Fault) {
    Fault.Reason = File + ": " + Fault.Reason;
  });
  return checkHostList(Text);
}

void stop(platform &Platform) {
  stopServer(*Platform.Api);
  stopServer(*Platform.Control);
  Platform.Watches.clear();
}

leaf::result<stop_action> start(boost::asio::io_context &Context,
                                const options::variables_map &Arguments) {
  const auto Platform = std::make_shared<platform>(Context);
  BOOST_LEAF_AUTO(Api, readEndpoint(Arguments, "listen"));
  BOOST_LEAF_AUTO(Control, readEndpoint(Arguments, "control"));
  BOOST_LEAF_ASSIGN(Platform->Latency,
                    readMilliseconds(Arguments, "latency-ms"));
  BOOST_LEAF_ASSIGN(Platform->ListLag,
                    readMilliseconds(Arguments, "list-lag-ms"));
  BOOST_LEAF_ASSIGN(Platform->Hosts.Text,
                    readHosts(Arguments["hosts"].as<std::string>()));
  startApi(Platform, Api);
  startControl(Platform, Control);
  startHousekeeping(Platform);
  return stop_action([Platform] { stop(*Platform); });
}

} // namespace

} // namespace bronzespar::standin

int main(int ArgumentCount, char **Arguments) {
  bronzespar::standin::program_description Program =
      bronzespar::standin::describeProgram();
  Program.Start = bronzespar::standin::start;
  return bronzespar::standin::runProgram(ArgumentCount, Arguments, Program);
}
