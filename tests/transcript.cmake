# Plays a transcript of the wire through the real host and compares its replies to the letter.
execute_process(COMMAND ${HOST} INPUT_FILE ${IN} OUTPUT_VARIABLE got ERROR_VARIABLE errors RESULT_VARIABLE code)
file(READ ${EXPECTED} expected)
if(NOT code EQUAL 0)
  message(FATAL_ERROR "exit ${code}: ${errors}")
endif()
if(NOT got STREQUAL expected)
  message(FATAL_ERROR "replies differ; got:\n${got}\nexpected:\n${expected}")
endif()
