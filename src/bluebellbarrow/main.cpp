#include "commandline.h"

int main(int Count, char **Arguments) {
  return bluebellbarrow::runCommandLine(Count, Arguments);
}
