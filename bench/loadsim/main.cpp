/**
 * \file
 * Load simulator: runs an experiment in virtual time with the routing and
 * admission code of the product. Models services whose targets are uneven, cold
 * or failing, nested calls, and callers that retry. Prints a table, and writes
 * data for a plot.
 */

#include "simmesh.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>

DEFINE_string(experiment, "", "file of the experiment");
DEFINE_string(plot, "", "directory for gnuplot files; empty for none");
DEFINE_string(set, "",
              "values that replace those of the file: "
              "'SECTION/KEY=VALUE;SECTION/KEY=VALUE'");
DEFINE_int32(seeds, 1,
             "runs of each variant, with seeds from that of the file");

namespace bluebellbarrow {

namespace {

constexpr int ExitSuccess = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadInput = 2;

/** Results of one variant at one value of the sweep. */
struct Row {
  std::string Variant;
  std::string Value;
  SimResult Result;
};

Overrides parseOverrides(const std::string &Text) {
  Overrides Parsed;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ';');)
    if (const size_t Equals = Part.find('='); Equals != std::string::npos)
      Parsed[Part.substr(0, Equals)] = Part.substr(Equals + 1);
  return Parsed;
}

void add(RequestCounts &Sum, const RequestCounts &Other) {
  Sum.Total += Other.Total;
  Sum.OnTime += Other.OnTime;
  Sum.Late += Other.Late;
  Sum.Refused += Other.Refused;
  Sum.Failed += Other.Failed;
  Sum.PossibleUtility += Other.PossibleUtility;
  Sum.AchievedUtility += Other.AchievedUtility;
}

void add(SimResult &Sum, const SimResult &Other) {
  add(Sum.All, Other.All);
  for (const auto &[Name, Counts] : Other.Kinds)
    add(Sum.Kinds[Name], Counts);
  Sum.Seconds.resize(std::max(Sum.Seconds.size(), Other.Seconds.size()));
  for (size_t Index = 0; Index < Other.Seconds.size(); ++Index)
    add(Sum.Seconds[Index], Other.Seconds[Index]);
}

SimResult simulate(Experiment Model, const VariantModel &Variant) {
  SimResult Sum;
  for (int Run = 0; Run < FLAGS_seeds; ++Run) {
    add(Sum, SimMesh(Model, Variant).run());
    Model.Mesh.Seed += 1;
  }
  return Sum;
}

void printRow(const std::string &Variant, const std::string &Value,
              const std::string &Kind, const RequestCounts &Counts) {
  std::cout << "| " << Variant << " | " << Value << " | " << Kind << " | "
            << Counts.Total << " | " << Counts.share(Counts.OnTime) << " | "
            << Counts.share(Counts.Late) << " | "
            << Counts.share(Counts.Refused) << " | "
            << Counts.share(Counts.Failed) << " | " << Counts.utilityShare()
            << " |";
}

/** Prints the results of all requests, then those of each kind. */
void printResult(const Row &ResultRow) {
  printRow(ResultRow.Variant, ResultRow.Value, "all", ResultRow.Result.All);
  std::cout << " " << ResultRow.Result.worstUtilityShare() << " |\n";
  for (const auto &[Name, Counts] : ResultRow.Result.Kinds) {
    printRow("", "", Name, Counts);
    std::cout << " |\n";
  }
}

/**
 * Writes the utility share of each row by second, and the gnuplot script that
 * plots it.
 */
bool writePlot(const std::filesystem::path &Directory,
               const std::vector<Row> &Rows) {
  std::error_code Failure;
  std::filesystem::create_directories(Directory, Failure);
  std::ofstream Data(Directory / "credit.dat");
  std::ofstream Script(Directory / "credit.gp");
  Script << "set terminal svg size 900,500\nset output 'credit.svg'\n"
            "set xlabel 'second'\nset ylabel 'credit earned of that owed'\n"
            "set yrange [0:1]\nset key outside\nplot ";
  for (size_t Index = 0; Index < Rows.size(); ++Index) {
    const Row &ResultRow = Rows[Index];
    Data << "# " << ResultRow.Variant << " " << ResultRow.Value << "\n";
    for (size_t Second = 0; Second < ResultRow.Result.Seconds.size(); ++Second)
      Data << Second << " " << ResultRow.Result.Seconds[Second].utilityShare()
           << "\n";
    Data << "\n\n";
    Script << (Index == 0 ? "" : ", ") << "'credit.dat' index " << Index
           << " with lines title '" << ResultRow.Variant << " "
           << ResultRow.Value << "'";
  }
  Script << "\n";
  return Data.good() && Script.good();
}

/** Simulates each variant at each value of the sweep and prints the results. */
Result<std::vector<Row>> simulateAndPrint(const Overrides &BaseOverrides) {
  const Result<Experiment> Base =
      readExperiment(FLAGS_experiment, BaseOverrides);
  if (!Base)
    return Base.error();
  std::vector<std::string> Values = Base.value().SweepValues;
  if (Values.empty())
    Values.emplace_back("");
  std::vector<Row> Rows;
  for (const std::string &Value : Values) {
    Overrides RowOverrides = BaseOverrides;
    if (!Value.empty())
      RowOverrides[Base.value().SweepKey] = Value;
    const Result<Experiment> Model =
        readExperiment(FLAGS_experiment, RowOverrides);
    if (!Model)
      return Model.error();
    for (const VariantModel &Variant : Model.value().Variants) {
      Rows.push_back({.Variant = Variant.Name,
                      .Value = Value,
                      .Result = simulate(Model.value(), Variant)});
      printResult(Rows.back());
    }
  }
  return Rows;
}

int run() {
  std::cout << std::setprecision(3)
            << "| variant | value | kind | asked | in aim | late | refused | "
               "failed | credit | worst 2 s |\n"
               "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
               "|\n";
  const Result<std::vector<Row>> Rows =
      simulateAndPrint(parseOverrides(FLAGS_set));
  if (!Rows) {
    std::cerr << "loadsim: " << Rows.error().message() << '\n';
    return ExitBadInput;
  }
  if (!FLAGS_plot.empty() && !writePlot(FLAGS_plot, Rows.value())) {
    std::cerr << "loadsim: can't write to '" << FLAGS_plot << "'\n";
    return ExitBadInput;
  }
  return ExitSuccess;
}

} // namespace

} // namespace bluebellbarrow

int main(int ArgumentCount, char **Arguments) {
  try {
    gflags::SetUsageMessage("loadsim --experiment FILE [--plot DIRECTORY]");
    gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
    return bluebellbarrow::run();
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "loadsim: %s\n", Failure.what());
    return bluebellbarrow::ExitFailed;
  }
}
