if(BUILD_TESTING)
    include(GoogleTest)
endif()

# Adds the static library lagoonquay_NAME from every source in src/.
function(lagoonquay_library name)
    file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
    add_library(lagoonquay_${name} STATIC ${sources})
    target_include_directories(lagoonquay_${name} PUBLIC include PRIVATE src)
    target_link_libraries(lagoonquay_${name} PUBLIC lagoonquay_options ${ARGN})
endfunction()

# Adds the test binary NAME_tests from every source in tests/.
function(lagoonquay_tests name)
    file(GLOB sources CONFIGURE_DEPENDS tests/*.cpp)
    if(NOT BUILD_TESTING OR NOT sources)
        return()
    endif()
    add_executable(${name}_tests ${sources})
    target_include_directories(${name}_tests PRIVATE src tests)
    target_link_libraries(${name}_tests PRIVATE
        lagoonquay_${name} GTest::gtest GTest::gtest_main)
    gtest_discover_tests(${name}_tests DISCOVERY_TIMEOUT 60)
endfunction()
