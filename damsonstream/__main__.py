import sys

from damsonstream.program.cli import main

sys.exit(main())
