/**
 * \file
 * Plays an experiment in virtual time with the decisions of the product: a
 * mesh of services with uneven, cold or failing targets, calls in a chain, and
 * callers who come back. Prints a table, and writes data for a plot.
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

constexpr int ExitGood = 0;
constexpr int ExitFailed = 1;
constexpr int ExitBadInput = 2;

/** One variant at one value of the sweep. */
struct Row {
  std::string Variant;
  std::string Value;
  SimResult Result;
};

Replacements parseReplacements(const std::string &Text) {
  Replacements Parsed;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ';');)
    if (const size_t Equals = Part.find('='); Equals != std::string::npos)
      Parsed[Part.substr(0, Equals)] = Part.substr(Equals + 1);
  return Parsed;
}

void add(Tally &Target, const Tally &More) {
  Target.Asked += More.Asked;
  Target.InAim += More.InAim;
  Target.Late += More.Late;
  Target.Refused += More.Refused;
  Target.Failed += More.Failed;
  Target.Owed += More.Owed;
  Target.Earned += More.Earned;
}

void add(SimResult &Target, const SimResult &More) {
  add(Target.All, More.All);
  for (const auto &[Name, Each] : More.Kinds)
    add(Target.Kinds[Name], Each);
  Target.Seconds.resize(std::max(Target.Seconds.size(), More.Seconds.size()));
  for (size_t Index = 0; Index < More.Seconds.size(); ++Index)
    add(Target.Seconds[Index], More.Seconds[Index]);
}

SimResult play(Experiment Model, const VariantModel &Variant) {
  SimResult Sum;
  for (int Run = 0; Run < FLAGS_seeds; ++Run) {
    add(Sum, SimMesh(Model, Variant).run());
    Model.Mesh.Seed += 1;
  }
  return Sum;
}

void printRow(const std::string &Variant, const std::string &Value,
              const std::string &Kind, const Tally &Of) {
  std::cout << "| " << Variant << " | " << Value << " | " << Kind << " | "
            << Of.Asked << " | " << Of.share(Of.InAim) << " | "
            << Of.share(Of.Late) << " | " << Of.share(Of.Refused) << " | "
            << Of.share(Of.Failed) << " | " << Of.credit() << " |";
}

void print(const Row &Of) {
  printRow(Of.Variant, Of.Value, "all", Of.Result.All);
  std::cout << " " << Of.Result.worstCredit() << " |\n";
  for (const auto &[Name, Each] : Of.Result.Kinds) {
    printRow("", "", Name, Each);
    std::cout << " |\n";
  }
}

/** Writes credit by second for each row, and the script that draws it. */
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
    const Row &Each = Rows[Index];
    Data << "# " << Each.Variant << " " << Each.Value << "\n";
    for (size_t Second = 0; Second < Each.Result.Seconds.size(); ++Second)
      Data << Second << " " << Each.Result.Seconds[Second].credit() << "\n";
    Data << "\n\n";
    Script << (Index == 0 ? "" : ", ") << "'credit.dat' index " << Index
           << " with lines title '" << Each.Variant << " " << Each.Value << "'";
  }
  Script << "\n";
  return Data.good() && Script.good();
}

Result<std::vector<Row>> playAll(const Replacements &Given) {
  const Result<Experiment> First = readExperiment(FLAGS_experiment, Given);
  if (!First)
    return First.error();
  std::vector<std::string> Values = First.value().SweepValues;
  if (Values.empty())
    Values.emplace_back("");
  std::vector<Row> Rows;
  for (const std::string &Value : Values) {
    Replacements Replaced = Given;
    if (!Value.empty())
      Replaced[First.value().SweepKey] = Value;
    const Result<Experiment> Model = readExperiment(FLAGS_experiment, Replaced);
    if (!Model)
      return Model.error();
    for (const VariantModel &Variant : Model.value().Variants) {
      Rows.push_back({.Variant = Variant.Name,
                      .Value = Value,
                      .Result = play(Model.value(), Variant)});
      print(Rows.back());
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
  const Result<std::vector<Row>> Rows = playAll(parseReplacements(FLAGS_set));
  if (!Rows) {
    std::cerr << "loadsim: " << Rows.error().message() << '\n';
    return ExitBadInput;
  }
  if (!FLAGS_plot.empty() && !writePlot(FLAGS_plot, Rows.value())) {
    std::cerr << "loadsim: can't write to '" << FLAGS_plot << "'\n";
    return ExitBadInput;
  }
  return ExitGood;
}

} // namespace

} // namespace bluebellbarrow

int main(int Count, char **Words) {
  try {
    gflags::SetUsageMessage("loadsim --experiment FILE [--plot DIRECTORY]");
    gflags::ParseCommandLineFlags(&Count, &Words, true);
    return bluebellbarrow::run();
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "loadsim: %s\n", Failure.what());
    return bluebellbarrow::ExitFailed;
  }
}
