// jasperspread: the session agent.
#include "ops/program.h"

int main(int argc, char** argv) {
    return jasperspread::ops::run_program(argc, argv);
}
