// Compiles the JSON library into the stand-ins, so that nothing has to be linked.
#include <boost/json/src.hpp>
