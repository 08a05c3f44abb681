# Adds every directory below each given one that has a CMakeLists.txt of its own.
function(mg_add_directories)
  foreach(parent IN LISTS ARGN)
    file(GLOB children CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${parent}/*/CMakeLists.txt)
    foreach(child IN LISTS children)
      cmake_path(GET child PARENT_PATH directory)
      add_subdirectory(${directory})
    endforeach()
  endforeach()
endfunction()

# Declares the static library mg_<name> from src/*.cpp and include/, with the libraries it needs,
# and the doctest program <name>_test from test/*.cpp where there are any.
function(mg_library name)
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  add_library(mg_${name} STATIC ${sources})
  target_include_directories(mg_${name} PUBLIC include PRIVATE src)
  target_link_libraries(mg_${name} PUBLIC ${ARGN})

  file(GLOB tests CONFIGURE_DEPENDS test/*.cpp)
  if(tests AND BUILD_TESTING)
    mg_test(${name}_test ${tests})
    target_include_directories(${name}_test PRIVATE src)
    target_link_libraries(${name}_test PRIVATE mg_${name})
  endif()
endfunction()

# Declares a doctest program and registers it with CTest under a fixed rapidcheck seed, with the
# arguments in <name>_arguments if that is set.
function(mg_test name)
  add_executable(${name} ${ARGN} ${PROJECT_SOURCE_DIR}/tests/doctest_main.cpp)
  target_link_libraries(${name} PRIVATE rapidcheck fmt::fmt)
  add_test(NAME ${name} COMMAND ${name} ${${name}_arguments})
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
endfunction()
