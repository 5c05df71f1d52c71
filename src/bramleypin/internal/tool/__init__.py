"""What the commands of the command-line tool do."""
