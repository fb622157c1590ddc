"""Run the programs: the front daemon and the operators' command.

front                entry point of the front daemon
_front_program       start, reload and planned stop of a front
_front_components    creation, start and stop of a front's components
_front_gauges        gauges of a front
_admission_components  admission policy of a front
_text_decoders       decoding of the operators' text for a front
operator             entry point and commands of the operators' command
_operator_flags      flags and arguments of a command
_operator_components creation of the pusher and the operator of a command
_reports             output and exit codes of commands
"""
