# Test fixture and fakes for the tests of packages/node. The fake agent is
# linked before the real one, so that it takes precedence.
set(dir ${CMAKE_SOURCE_DIR}/packages/node)
add_library(ggs_node_fakes STATIC ${dir}/tests/node_fixture.c ${dir}/tests/fake_server.c
    ${dir}/tests/relay.c
    ${CMAKE_SOURCE_DIR}/packages/proxy/tests/fake_agent.c)
target_include_directories(ggs_node_fakes PUBLIC ${dir}/tests
    ${CMAKE_SOURCE_DIR}/packages/proxy/tests)
target_link_libraries(ggs_node_fakes PUBLIC ggs_node PkgConfig::CHECK)
file(GLOB node_tests CONFIGURE_DEPENDS ${dir}/tests/test_*.c)
foreach(t ${node_tests})
	get_filename_component(stem ${t} NAME_WE)
	target_link_libraries(node_${stem} ggs_node_fakes)
endforeach()
